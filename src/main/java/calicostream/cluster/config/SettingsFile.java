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
 * A file of settings in TOML. Each part of the program takes the keys it knows out of a {@link
 * Section}; when all have, {@link #done} knows that what is left over is a mistake. Each mistake is
 * thrown where it is found, with its line. One thread uses an object, at the start of the program.
 */
public final class SettingsFile {
    private final String name;
    private final Path path;
    private final Map<TomlTable, Set<String>> taken =
            new IdentityHashMap<>(); // tables of an array may be equal
    private final TomlParseResult root;

    private SettingsFile(Path path, String text) {
        this.path = path;
        name = path.toString();
        root = Toml.parse(text);
        root.errors().stream()
                .min(Comparator.comparingInt(e -> e.position().line()))
                .ifPresent(this::refuse);
    }

    private void refuse(TomlParseError first) {
        throw new ClusterConfigException(
                Code.SYNTAX, name, first.position().line(), "", first.getMessage());
    }

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

    /** To be called when every part has taken its keys. */
    public void requireAllKeysKnown() {
        leftOver(root, "");
    }

    private void leftOver(TomlTable table, String prefix) {
        table.keySet().stream()
                .sorted(Comparator.comparingInt(key -> lineOf(table, key)))
                .forEach(
                        key -> {
                            if (!taken.getOrDefault(table, Set.of()).contains(key)) {
                                throw new ClusterConfigException(
                                        Code.UNKNOWN_KEY,
                                        name,
                                        lineOf(table, key),
                                        prefix + key,
                                        "no such key");
                            }
                            Object value = table.get(List.of(key));
                            if (value instanceof TomlTable inner) {
                                leftOver(inner, prefix + key + ".");
                            } else if (value instanceof TomlArray array) {
                                array.toList().stream()
                                        .filter(TomlTable.class::isInstance)
                                        .forEach(
                                                each ->
                                                        leftOver(
                                                                (TomlTable) each,
                                                                prefix + key + "."));
                            }
                        });
    }

    private static int lineOf(TomlTable table, String key) {
        TomlPosition at = table.inputPositionOf(List.of(key));
        return at == null ? 0 : at.line();
    }

    /** One table of the file. */
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
         * What is wrong with a key of this table, told at its line, or at the table's where it has
         * no such key.
         */
        public ClusterConfigException error(Code code, String key, String fact) {
            int at = lineOf(table, key);
            return new ClusterConfigException(code, name, at > 0 ? at : line, prefix + key, fact);
        }

        public boolean has(String key) {
            return table.contains(List.of(key));
        }

        private Object take(String key) {
            taken.computeIfAbsent(table, t -> new HashSet<>()).add(key);
            return table.get(List.of(key));
        }

        private <T> T take(String key, Class<T> type, String called) {
            Object value = take(key);
            if (value != null && !type.isInstance(value)) {
                throw error(Code.WRONG_TYPE, key, called + " is needed");
            }
            return type.cast(value);
        }

        /** The names of this table's keys in the file's order, where operators choose them. */
        public List<String> names() {
            return table.keySet().stream()
                    .sorted(Comparator.comparingInt(key -> lineOf(table, key)))
                    .toList();
        }

        public Section section(String key) {
            TomlTable inner = take(key, TomlTable.class, "a table");
            return new Section(
                    inner == null ? Toml.parse("") : inner,
                    prefix + key + ".",
                    Math.max(1, lineOf(table, key)));
        }

        public List<Section> sections(String key) {
            TomlArray array = take(key, TomlArray.class, "an array of tables");
            List<Section> out = new ArrayList<>();
            for (int i = 0; array != null && i < array.size(); i++) {
                if (!(array.get(i) instanceof TomlTable inner)) {
                    throw error(Code.WRONG_TYPE, key, "an array of tables is needed");
                }
                out.add(new Section(inner, prefix + key + ".", array.inputPositionOf(i).line()));
            }
            return out;
        }

        public boolean flag(String key, boolean without) {
            Boolean value = take(key, Boolean.class, "true or false");
            return value == null ? without : value;
        }

        /** A text that is not empty; null where {@code without} is null and there is none. */
        public String text(String key, String without) {
            String value = take(key, String.class, "a text in quotes");
            if (value != null && value.isBlank()) {
                throw error(Code.OUT_OF_RANGE, key, "it is empty");
            }
            return value == null ? without : value;
        }

        public String text(String key) {
            return need(key, text(key, null));
        }

        private <T> T need(String key, T value) {
            if (value == null) {
                throw error(Code.MISSING_KEY, key, "it is needed");
            }
            return value;
        }

        /**
         * Texts in the file's order, none where the key is not there; one that comes twice is a
         * mistake.
         */
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

        /** Whole numbers from 0 on, in the file's order. */
        public List<Integer> counts(String key, int most) {
            return list(key, Long.class, "an array of whole numbers").stream()
                    .map(
                            value -> {
                                if (value < 0 || value > most) {
                                    throw error(
                                            Code.OUT_OF_RANGE,
                                            key,
                                            value + ", 0 to " + most + " allowed");
                                }
                                return value.intValue();
                            })
                    .toList();
        }

        private <T> List<T> list(String key, Class<T> type, String called) {
            TomlArray array = take(key, TomlArray.class, called);
            List<T> out = new ArrayList<>();
            for (Object each : array == null ? List.of() : array.toList()) {
                if (!type.isInstance(each)) {
                    throw error(Code.WRONG_TYPE, key, called + " is needed");
                }
                if (out.contains(each)) {
                    throw error(Code.OVERLAP, key, "'" + each + "' comes twice");
                }
                out.add(type.cast(each));
            }
            return out;
        }

        /**
         * A whole number within bounds; {@code without} is taken as it is, and null stands for a
         * key that is needed.
         */
        public int count(String key, Integer without, int least, int most) {
            Long value = take(key, Long.class, "a whole number");
            if (value == null) {
                return need(key, without);
            }
            if (value < least || value > most) {
                throw error(
                        Code.OUT_OF_RANGE, key, value + ", " + least + " to " + most + " allowed");
            }
            return value.intValue();
        }

        private long measure(String key, Units units, String without, String least, String most) {
            Object given = take(key);
            String value = given == null ? need(key, without) : given.toString();
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
            if (measure < units.parse(least) || measure > units.parse(most)) {
                throw error(
                        Code.OUT_OF_RANGE,
                        key,
                        "'" + value + "', " + least + " to " + most + " allowed");
            }
            return measure;
        }

        /**
         * A span of time; all bounds are written as in the file, {@code without} is null where the
         * key is needed.
         */
        public Duration duration(String key, String without, String least, String most) {
            return Duration.ofNanos(measure(key, Units.DURATION, without, least, most));
        }

        public long bytes(String key, String without, String least, String most) {
            return measure(key, Units.BYTES, without, least, most);
        }

        public int ppm(String key, String without, String least, String most) {
            return (int) measure(key, Units.PARTS, without, least, most);
        }

        /** An address and port that others can reach this one at; null where there is none. */
        public InetSocketAddress address(String key, InetSocketAddress without) {
            String value = text(key, null);
            return value == null ? without : reachable(key, value);
        }

        /** Such addresses in the file's order, none where the key is not there. */
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

        /** A file or folder, beside the file of settings or anywhere by its whole path. */
        public Path path(String key) {
            return path.resolveSibling(text(key));
        }
    }
}
