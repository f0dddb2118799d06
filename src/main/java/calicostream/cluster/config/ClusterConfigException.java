// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import calicostream.config.SettingsException;

/**
 * A mistake in the cluster's settings. The message is one line with file, line, key, fact and code;
 * the program prints it and exits with code 2 before it serves any request.
 */
public final class ClusterConfigException extends SettingsException {
    private static final long serialVersionUID = 1L;

    /** The kinds of mistakes; each has a row in {@code docs/operate/cluster-settings.md}. */
    public enum Code {
        UNREADABLE(
                "cluster-config-unreadable",
                "Name a file that the process may read, or unset NODE_CLUSTER."),
        SYNTAX("cluster-config-syntax", "Write the line as TOML 1.0 has it."),
        UNKNOWN_KEY("cluster-config-unknown-key", "Mend the spelling, or take the line out."),
        MISSING_KEY("cluster-config-missing-key", "Add the key; it has no default."),
        WRONG_TYPE(
                "cluster-config-wrong-type", "Write a value of the type that the line asks for."),
        WRONG_UNIT(
                "cluster-config-wrong-unit",
                "Write a whole number and one of the units that the line names."),
        OUT_OF_RANGE(
                "cluster-config-out-of-range",
                "Choose a value within the bounds that the line names."),
        OVERLAP(
                "cluster-config-overlap",
                "Give each one its own: a member its name, number and address, a tenant what it is"
                        + " known by."),
        IMPOSSIBLE(
                "cluster-config-impossible", "Change one of the two settings that the line names.");

        private final String text;
        private final String remedy;

        Code(String text, String remedy) {
            this.text = text;
            this.remedy = remedy;
        }

        /** The stable code. */
        public String text() {
            return text;
        }

        /** What an operator can do; one sentence. */
        public String remedy() {
            return remedy;
        }
    }

    private final Code code;
    private final String file;
    private final int line;
    private final String key;

    /**
     * Makes the message.
     *
     * @param line counted from 1; 0 for the file as a whole
     * @param key with the names of its tables, separated by dots; may be empty
     */
    ClusterConfigException(Code code, String file, int line, String key, String fact) {
        super(
                "bad configuration: "
                        + file
                        + (line > 0 ? ":" + line : "")
                        + ": "
                        + (key.isEmpty() ? "" : key + ": ")
                        + fact.replaceAll("\\s*\\R\\s*", " ")
                        + " ["
                        + code.text
                        + "]");
        this.code = code;
        this.file = file;
        this.line = line;
        this.key = key;
    }

    /** The kind of mistake. */
    public Code code() {
        return code;
    }

    /** The file, as it was named. */
    public String file() {
        return file;
    }

    /** The line, counted from 1; 0 for the file as a whole. */
    public int line() {
        return line;
    }

    /** The key with the names of its tables; may be empty. */
    public String key() {
        return key;
    }
}
