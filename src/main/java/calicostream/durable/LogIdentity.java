// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * The owner of a log. Both names are written into every file, so that a directory that was put in
 * the place of another one is recognized.
 *
 * @param cluster the cluster's name, 1 to 200 characters
 * @param member the member's name within the cluster, 1 to 200 characters
 */
public record LogIdentity(String cluster, String member) {
    private static final int MAX_NAME_LENGTH = 200;

    /** Checks both names. */
    public LogIdentity {
        if (cluster.isBlank() || member.isBlank()) {
            throw new IllegalArgumentException("cluster and member need a name each");
        }
        if (cluster.length() > MAX_NAME_LENGTH || member.length() > MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("names of 200 characters at most");
        }
    }

    @Override
    public String toString() {
        return cluster + "/" + member;
    }
}
