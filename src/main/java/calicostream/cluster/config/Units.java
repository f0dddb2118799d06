// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import java.math.BigInteger;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Values with a unit, as in "1500ms", "64MB" or "500ppm": a whole number and its unit, with nothing
 * between them.
 */
enum Units {
    /** In nanoseconds. */
    DURATION(
            Map.of(
                    "us",
                    1_000L,
                    "ms",
                    1_000_000L,
                    "s",
                    1_000_000_000L,
                    "min",
                    60_000_000_000L,
                    "h",
                    3_600_000_000_000L)),
    /** In bytes; a KB has 1024 of them. */
    BYTES(Map.of("B", 1L, "KB", 1L << 10, "MB", 1L << 20, "GB", 1L << 30)),
    /** In parts of a million. */
    PARTS(Map.of("ppm", 1L));

    private static final Pattern FORM = Pattern.compile("([0-9]+)([A-Za-z]*)");
    private final Map<String, Long> sizes;

    Units(Map<String, Long> sizes) {
        this.sizes = new LinkedHashMap<>();
        sizes.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .forEach(e -> this.sizes.put(e.getKey(), e.getValue()));
    }

    /** The units there are, the smallest first, for the line that tells of a wrong one. */
    String names() {
        return String.join(", ", sizes.keySet());
    }

    /**
     * The value in the smallest measure, at most {@code Long.MAX_VALUE}; -1 where it is no number
     * with such a unit.
     */
    long parse(String text) {
        Matcher form = FORM.matcher(text);
        if (!form.matches() || !sizes.containsKey(form.group(2))) {
            return -1;
        }
        BigInteger value =
                new BigInteger(form.group(1))
                        .multiply(BigInteger.valueOf(sizes.get(form.group(2))));
        return value.bitLength() > 63 ? Long.MAX_VALUE : value.longValue();
    }

    /** In the largest unit that has it whole, as an operator would write it. */
    String text(long value) {
        String out = value + sizes.keySet().iterator().next();
        for (Map.Entry<String, Long> each : sizes.entrySet()) {
            if (value > 0 && value % each.getValue() == 0) {
                out = value / each.getValue() + each.getKey();
            }
        }
        return out;
    }
}
