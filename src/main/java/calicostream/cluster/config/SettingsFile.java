// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import calicostream.cluster.config.ClusterConfigException.Code;
import calicostream.net.InvalidInputException;
import calicostream.net.NumericSocketAddress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A settings file in TOML. Each part of the program reads the keys it knows from a {@link Section};
 * afterwards {@link #requireAllKeysKnown} rejects a key that nobody has read. Every mistake is
 * thrown as a {@link ClusterConfigException} with its line. Used by one thread, at the start of the
 * program.
 */
public final class SettingsFile {
    private final String name;
    private final Path path;

    /** By identity, since two tables of an array may be equal. */
    private final Map<TomlTable, Set<String>> knownKeys = new IdentityHashMap<>();

    private final TomlParseResult root;

    private SettingsFile(Path path, String text) {
        this.path = path;
        name = path.toString();
        root = Toml.parse(text);
        root.errors().stream()
                .min(Comparator.comparingInt(e -> e.position().line()))
                .ifPresent(this::fail);
    }

    private void fail(TomlParseError first) {
        throw new ClusterConfigException(
                Code.SYNTAX, name, first.position().line(), "", first.getMessage());
    }

    /**
     * Reads and parses a file.
     *
     * @throws ClusterConfigException if it can't be read or is not valid TOML
     */
    public static SettingsFile read(Path path) {
        try {
            return new SettingsFile(path, Files.readString(path, StandardCharsets.UTF_8));
        } catch (CharacterCodingException e) {
            throw new ClusterConfigException(
                    Code.SYNTAX, path.toString(), 0, "", "the file is not UTF-8");
        } catch (IOException e) {
            throw new ClusterConfigException(
                    Code.UNREADABLE, path.toString(), 0, "", "can't be read: " + e);
        }
    }

    /** The keys outside any table. */
    public Section top() {
        return new Section(root, "", 1);
    }

    /** The table of that name, empty where the file has none. */
    public Section section(String table) {
        return top().section(table);
    }

    /** The tables of an array such as {@code [[voters]]}, in the file's order. */
    public List<Section> sections(String array) {
        return top().sections(array);
    }

    /**
     * Rejects the first key that nobody has read; called when every part has read its keys.
     *
     * @throws ClusterConfigException for that key
     */
    public void requireAllKeysKnown() {
        requireKeysKnown(root, "");
    }

    private void requireKeysKnown(TomlTable table, String prefix) {
        table.keySet().stream()
                .sorted(Comparator.comparingInt(key -> lineOf(table, key)))
                .forEach(
                        key -> {
                            if (!knownKeys.getOrDefault(table, Set.of()).contains(key)) {
                                throw new ClusterConfigException(
                                        Code.UNKNOWN_KEY,
                                        name,
                                        lineOf(table, key),
                                        prefix + key,
                                        "no such key");
                            }
                            Object value = table.get(List.of(key));
                            if (value instanceof TomlTable inner) {
                                requireKeysKnown(inner, prefix + key + ".");
                            } else if (value instanceof TomlArray array) {
                                array.toList().stream()
                                        .filter(TomlTable.class::isInstance)
                                        .forEach(
                                                each ->
                                                        requireKeysKnown(
                                                                (TomlTable) each,
                                                                prefix + key + "."));
                            }
                        });
    }

    private static int lineOf(TomlTable table, String key) {
        TomlPosition at = table.inputPositionOf(List.of(key));
        return at == null ? 0 : at.line();
    }

    /** One table of the file; reading a key marks it as known. */
    public final class Section {
        private final TomlTable table;
        private final String prefix;
        private final int line;

        private Section(TomlTable table, String prefix, int line) {
            this.table = table;
            this.prefix = prefix;
            this.line = line;
        }

        /**
         * Makes the error for a key of this table, at its line, or at the table's line if the key
         * is missing.
         */
        public ClusterConfigException error(Code code, String key, String fact) {
            int at = lineOf(table, key);
            return new ClusterConfigException(code, name, at > 0 ? at : line, prefix + key, fact);
        }

        /** Whether the table has this key; does not mark it as known. */
        public boolean has(String key) {
            return table.contains(List.of(key));
        }

        private Object get(String key) {
            knownKeys.computeIfAbsent(table, t -> new HashSet<>()).add(key);
            return table.get(List.of(key));
        }

        private <T> T get(String key, Class<T> type, String expected) {
            Object value = get(key);
            if (value != null && !type.isInstance(value)) {
                throw error(Code.WRONG_TYPE, key, expected + " is needed");
            }
            return type.cast(value);
        }

        /**
         * The keys of this table in the file's order, for tables whose keys are chosen by
         * operators.
         */
        public List<String> names() {
            return table.keySet().stream()
                    .sorted(Comparator.comparingInt(key -> lineOf(table, key)))
                    .toList();
        }

        /** The inner table of that name; empty if there is none. */
        public Section section(String key) {
            TomlTable inner = get(key, TomlTable.class, "a table");
            return new Section(
                    inner == null ? Toml.parse("") : inner,
                    prefix + key + ".",
                    Math.max(1, lineOf(table, key)));
        }

        /** The tables of an array, in the file's order. */
        public List<Section> sections(String key) {
            TomlArray array = get(key, TomlArray.class, "an array of tables");
            List<Section> out = new ArrayList<>();
            for (int i = 0; array != null && i < array.size(); i++) {
                if (!(array.get(i) instanceof TomlTable inner)) {
                    throw error(Code.WRONG_TYPE, key, "an array of tables is needed");
                }
                out.add(new Section(inner, prefix + key + ".", array.inputPositionOf(i).line()));
            }
            return out;
        }

        /** A boolean. */
        public boolean flag(String key, boolean defaultValue) {
            Boolean value = get(key, Boolean.class, "true or false");
            return value == null ? defaultValue : value;
        }

        /** A text that is not empty; {@code defaultValue}, which may be null, if it is missing. */
        public String text(String key, String defaultValue) {
            String value = get(key, String.class, "a text in quotes");
            if (value != null && value.isBlank()) {
                throw error(Code.OUT_OF_RANGE, key, "it is empty");
            }
            return value == null ? defaultValue : value;
        }

        /** A text that is not empty and has no default. */
        public String text(String key) {
            return require(key, text(key, null));
        }

        private <T> T require(String key, T value) {
            if (value == null) {
                throw error(Code.MISSING_KEY, key, "it is needed");
            }
            return value;
        }

        /** Distinct texts in the file's order; empty if the key is missing. */
        public List<String> texts(String key) {
            return list(key, String.class, "an array of texts in quotes").stream()
                    .map(
                            text -> {
                                if (text.isBlank()) {
                                    throw error(Code.OUT_OF_RANGE, key, "one is empty");
                                }
                                return text;
                            })
                    .toList();
        }

        /** Distinct whole numbers from 0 to {@code max}, in the file's order. */
        public List<Integer> counts(String key, int max) {
            return list(key, Long.class, "an array of whole numbers").stream()
                    .map(
                            value -> {
                                if (value < 0 || value > max) {
                                    throw error(
                                            Code.OUT_OF_RANGE,
                                            key,
                                            value + ", 0 to " + max + " allowed");
                                }
                                return value.intValue();
                            })
                    .toList();
        }

        private <T> List<T> list(String key, Class<T> type, String expected) {
            TomlArray array = get(key, TomlArray.class, expected);
            List<T> out = new ArrayList<>();
            for (Object each : array == null ? List.of() : array.toList()) {
                if (!type.isInstance(each)) {
                    throw error(Code.WRONG_TYPE, key, expected + " is needed");
                }
                if (out.contains(each)) {
                    throw error(Code.OVERLAP, key, "'" + each + "' comes twice");
                }
                out.add(type.cast(each));
            }
            return out;
        }

        /**
         * A whole number within bounds.
         *
         * @param defaultValue not checked against the bounds; null if the key is required
         */
        public int count(String key, Integer defaultValue, int min, int max) {
            Long value = get(key, Long.class, "a whole number");
            if (value == null) {
                return require(key, defaultValue);
            }
            if (value < min || value > max) {
                throw error(Code.OUT_OF_RANGE, key, value + ", " + min + " to " + max + " allowed");
            }
            return value.intValue();
        }

        private long measure(String key, Units units, String defaultValue, String min, String max) {
            Object given = get(key);
            String value = given == null ? require(key, defaultValue) : given.toString();
            long measure = units.parse(value);
            if (given != null && !(given instanceof String) && !(given instanceof Number)) {
                throw error(Code.WRONG_TYPE, key, "a number with its unit, in quotes, is needed");
            }
            if (measure < 0 || given instanceof Number) {
                throw error(
                        Code.WRONG_UNIT,
                        key,
                        "'"
                                + value
                                + "', a whole number with one of the units "
                                + units.names()
                                + " is needed, in quotes");
            }
            if (measure < units.parse(min) || measure > units.parse(max)) {
                throw error(
                        Code.OUT_OF_RANGE,
                        key,
                        "'" + value + "', " + min + " to " + max + " allowed");
            }
            return measure;
        }

        /**
         * A time span; default and bounds are written as in the file.
         *
         * @param defaultValue null if the key is required
         */
        public Duration duration(String key, String defaultValue, String min, String max) {
            return Duration.ofNanos(measure(key, Units.DURATION, defaultValue, min, max));
        }

        /** A number of bytes; see {@link #duration} for the parameters. */
        public long bytes(String key, String defaultValue, String min, String max) {
            return measure(key, Units.BYTES, defaultValue, min, max);
        }

        /** A number of millionths; see {@link #duration} for the parameters. */
        public int ppm(String key, String defaultValue, String min, String max) {
            return (int) measure(key, Units.PARTS_PER_MILLION, defaultValue, min, max);
        }

        /** An address and port that other members can reach; may return a null default. */
        public InetSocketAddress address(String key, InetSocketAddress defaultValue) {
            String value = text(key, null);
            return value == null ? defaultValue : reachable(key, value);
        }

        /** Such addresses in the file's order; empty if the key is missing. */
        public List<InetSocketAddress> addresses(String key) {
            return texts(key).stream().map(value -> reachable(key, value)).toList();
        }

        private InetSocketAddress reachable(String key, String value) {
            try {
                InetSocketAddress out = NumericSocketAddress.parse(value);
                if (out.isUnresolved()
                        || out.getPort() == 0
                        || out.getAddress().isAnyLocalAddress()) {
                    throw error(
                            Code.OUT_OF_RANGE,
                            key,
                            "'" + value + "', others can't reach a member there");
                }
                return out;
            } catch (InvalidInputException e) {
                throw error(Code.WRONG_TYPE, key, e.getMessage());
            }
        }

        /** A required path, absolute or relative to the folder of the settings file. */
        public Path path(String key) {
            return path.resolveSibling(text(key));
        }
    }
}
