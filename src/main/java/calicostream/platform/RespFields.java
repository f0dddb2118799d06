// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;
import calicostream.routing.LoadReport;
import java.util.HashMap;
import java.util.Map;

/** The field lists of engines' answers: {@code name=value,name=value}, or {@code -} for none. */
final class RespFields {
    private static final double MOST = 1e6; // queries, or times full: no engine tells more

    private RespFields() {}

    static Map<String, String> parse(String text) throws InvalidInputException {
        if (text.equals("-") || text.isEmpty()) {
            return Map.of();
        }
        Map<String, String> out = new HashMap<>();
        for (String field : text.split(",")) {
            int at = field.indexOf('=');
            if (at < 1) {
                throw new InvalidInputException("a field without a name");
            }
            out.put(field.substring(0, at), field.substring(at + 1));
        }
        return out;
    }

    /**
     * A load report, {@code name:value;name:value}; null where there is none. A value that can't be
     * is passed over.
     */
    static LoadReport report(String text) {
        if (text == null) {
            return null;
        }
        LoadReport out = LoadReport.EMPTY;
        for (String pair : text.split(";")) {
            int at = pair.indexOf(':');
            double value = number(at < 0 ? null : pair.substring(at + 1));
            out = value >= 0 && value <= MOST ? out.withColumn(pair.substring(0, at), value) : out;
        }
        return out;
    }

    /** A number, or NaN. */
    static double number(String text) {
        try {
            return text == null ? Double.NaN : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    static int whole(Map<String, String> fields, String name, int without, int most)
            throws InvalidInputException {
        String text = fields.get(name);
        double value = text == null ? without : number(text);
        if (!(value <= most) || value != Math.rint(value)) {
            throw new InvalidInputException("the field " + name + " can't be used");
        }
        return (int) value;
    }
}
