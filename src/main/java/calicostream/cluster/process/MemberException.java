// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.config.SettingsException;
import calicostream.durable.DurableException;

/**
 * Why a member can't start; the program ends with its one line and the exit code 2 before it serves
 * anybody. The codes are rows of {@code docs/operate/cluster.md}, those of a disk of {@code
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
                        + facts.replaceAll("\\s*\\R\\s*", " ")
                        + "; "
                        + remedy);
        this.code = code;
    }

    static MemberException of(DurableException why) {
        return new MemberException(why.code(), why.facts(), why.remedy());
    }

    /** Stable. */
    public String code() {
        return code;
    }
}
