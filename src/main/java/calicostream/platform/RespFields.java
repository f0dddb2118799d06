// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;
import calicostream.routing.LoadReport;
import java.util.HashMap;
import java.util.Map;

/** Parses the field lists of responses: {@code name=value,name=value}, or {@code -} for none. */
final class RespFields {
    /** Larger than any query count or utilization that an engine can report. */
    private static final double MAX_REPORT_VALUE = 1e6;

    private RespFields() {}

    static Map<String, String> parse(String text) throws InvalidInputException {
        if (text.equals("-") || text.isEmpty()) {
            return Map.of();
        }
        Map<String, String> result = new HashMap<>();
        for (String field : text.split(",")) {
            int separator = field.indexOf('=');
            if (separator < 1) {
                throw new InvalidInputException("a field without a name");
            }
            result.put(field.substring(0, separator), field.substring(separator + 1));
        }
        return result;
    }

    /**
     * Parses a load report, {@code name:value;name:value}; returns null for null. Invalid values
     * are skipped.
     */
    static LoadReport parseLoadReport(String text) {
        if (text == null) {
            return null;
        }
        LoadReport report = LoadReport.EMPTY;
        for (String pair : text.split(";")) {
            int separator = pair.indexOf(':');
            double value = number(separator < 0 ? null : pair.substring(separator + 1));
            report =
                    value >= 0 && value <= MAX_REPORT_VALUE
                            ? report.withColumn(pair.substring(0, separator), value)
                            : report;
        }
        return report;
    }

    /** Parses a number; NaN where it is missing or invalid. */
    static double number(String text) {
        try {
            return text == null ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** Parses an integer field of at most {@code max}; the default where it is missing. */
    static int integer(Map<String, String> fields, String name, int defaultValue, int max)
            throws InvalidInputException {
        String text = fields.get(name);
        double value = text == null ? defaultValue : number(text);
        if (!(value <= max) || value != Math.rint(value)) {
            throw new InvalidInputException("the field " + name + " is not a valid integer");
        }
        return (int) value;
    }
}
