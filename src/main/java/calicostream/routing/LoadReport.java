// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A load report; what the engine does not tell of its queries and cores is NaN. {@code saturation}:
 * the fullest of what its queries share beside the cores, memory granted or disks busy, as a share;
 * 0 where it is not told.
 */
public record LoadReport(double running, double utilization, double saturation) {
    /** A report that tells nothing yet. */
    public static final LoadReport EMPTY = new LoadReport(Double.NaN, Double.NaN, 0);

    /** A report of queries and cores alone. */
    public LoadReport(double running, double utilization) {
        this(running, utilization, 0);
    }

    /** The fullest share of all that it tells of, NaN where it tells of none. */
    public double highestUtilization() {
        return saturation > 0
                ? Double.isNaN(utilization) ? saturation : Math.max(utilization, saturation)
                : utilization;
    }

    /**
     * This report with a column of the engine's load report set; columns of no use here are passed
     * over.
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
