// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import java.math.BigInteger;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The units of a quantity. A value is written as a whole number directly followed by its unit, as
 * in "1500ms", "64MB" or "500ppm".
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
    PARTS_PER_MILLION(Map.of("ppm", 1L));

    private static final Pattern FORM = Pattern.compile("([0-9]+)([A-Za-z]*)");
    private final Map<String, Long> sizes;

    Units(Map<String, Long> sizes) {
        this.sizes = new LinkedHashMap<>();
        sizes.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .forEach(e -> this.sizes.put(e.getKey(), e.getValue()));
    }

    /** The names of the units, the smallest first, for error messages. */
    String names() {
        return String.join(", ", sizes.keySet());
    }

    /**
     * Parses a value.
     *
     * @return the value in the smallest unit, at most {@code Long.MAX_VALUE}; -1 if it is not a
     *     number with one of these units
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

    /** Writes a value in the largest unit in which it is a whole number. */
    String text(long value) {
        String text = value + sizes.keySet().iterator().next();
        for (Map.Entry<String, Long> each : sizes.entrySet()) {
            if (value > 0 && value % each.getValue() == 0) {
                text = value / each.getValue() + each.getKey();
            }
        }
        return text;
    }
}
