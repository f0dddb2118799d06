// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * Whose folder it is: both names are written into every file, so that a folder put in another's
 * place is known as such.
 */
public record LogIdentity(String cluster, String member) {

    public LogIdentity {
        if (cluster.isBlank() || member.isBlank())
            throw new IllegalArgumentException("cluster and member need a name each");
        if (cluster.length() > 200 || member.length() > 200)
            throw new IllegalArgumentException("names of 200 characters at most");
    }

    @Override
    public String toString() {
        return cluster + "/" + member;
    }
}
