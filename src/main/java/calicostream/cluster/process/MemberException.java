// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.config.SettingsException;
import calicostream.durable.DurableException;

/**
 * A member can't start. The program ends with this exception's one line and exit code 2 before it
 * serves anybody. The codes are rows of {@code docs/operate/cluster.md}, those of a disk of {@code
 * docs/operate/durable.md}.
 */
public final class MemberException extends SettingsException {
    private static final long serialVersionUID = 1L;
    private final String code;

    MemberException(String code, String facts, String remedy) {
        super(
                "the cluster's member can't start: "
                        + code
                        + ": "
                        + onOneLine(facts)
                        + "; "
                        + remedy);
        this.code = code;
    }

    private static String onOneLine(String text) {
        return text.replaceAll("\\s*\\R\\s*", " ");
    }

    /** The same error of a disk. */
    static MemberException of(DurableException cause) {
        return new MemberException(cause.code(), cause.facts(), cause.remedy());
    }

    /** The stable code. */
    public String code() {
        return code;
    }
}
