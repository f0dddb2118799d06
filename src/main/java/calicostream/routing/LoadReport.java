// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A load report of an engine.
 *
 * @param running number of running queries, NaN if not reported
 * @param utilization utilization of the cores from 0 to 1, NaN if not reported
 * @param saturation utilization of the most saturated shared resource beside the cores, such as
 *     granted memory or disks; 0 if not reported
 */
public record LoadReport(double running, double utilization, double saturation) {
    /** A report without any value. */
    public static final LoadReport EMPTY = new LoadReport(Double.NaN, Double.NaN, 0);

    /** Creates a report without the saturation of other resources. */
    public LoadReport(double running, double utilization) {
        this(running, utilization, 0);
    }

    /** Returns the highest reported utilization of any resource, NaN if none is reported. */
    public double highestUtilization() {
        boolean reportsSaturation = saturation > 0;
        if (!reportsSaturation) {
            return utilization;
        }
        return Double.isNaN(utilization) ? saturation : Math.max(utilization, saturation);
    }

    /**
     * Returns a copy with one column of the engine's report set.
     *
     * @param column name of the column in the settings; unknown columns are ignored
     */
    public LoadReport withColumn(String column, double value) {
        switch (column) {
            case "inflight":
                return new LoadReport(value, utilization, saturation);
            case "util":
                return new LoadReport(running, value, saturation);
            case "x0", "x1":
                return new LoadReport(running, utilization, Math.max(saturation, value));
            default:
                return this;
        }
    }
}
