// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * An engine's report of its load.
 *
 * @param running queries in flight there, NaN if not reported
 * @param utilization utilization of its cores from 0 to 1, NaN if not reported
 * @param saturation the fullest of what its queries share beside the cores, memory granted or disks
 *     busy, as a share; 0 if not reported
 */
public record LoadReport(double running, double utilization, double saturation) {
    /** A report without any figure. */
    public static final LoadReport EMPTY = new LoadReport(Double.NaN, Double.NaN, 0);

    /** Creates a report of queries and cores alone. */
    public LoadReport(double running, double utilization) {
        this(running, utilization, 0);
    }

    /** Returns the highest share that is reported, NaN if none is. */
    public double highestUtilization() {
        boolean reportsSaturation = saturation > 0;
        if (!reportsSaturation) {
            return utilization;
        }
        return Double.isNaN(utilization) ? saturation : Math.max(utilization, saturation);
    }

    /**
     * Returns this report with a column of the engine's report set.
     *
     * @param column name of the column as the settings give it; an unknown one changes nothing
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
