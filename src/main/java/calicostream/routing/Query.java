// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A query of a client.
 *
 * @param id unique among all queries of the gateway
 * @param queryClass index of its class
 * @param tenant index of its tenant
 * @param key key whose queries keep their order if the class asks for it, 0 for none
 * @param timeLeftUs time until the client's deadline in microseconds
 * @param estimatedWorkUs estimate of its work in core-microseconds, 0 for none
 * @param estimatedMemoryMb estimate of its memory in megabytes, 0 for none
 * @param tableGroup number of the group of tables that it reads
 * @param clientRetry whether the client repeats an earlier query
 * @param stickyEngine id of the one engine that holds what the query needs, 0 for none; such a
 *     query never runs twice
 */
public record Query(
        long id,
        int queryClass,
        int tenant,
        long key,
        long timeLeftUs,
        double estimatedWorkUs,
        double estimatedMemoryMb,
        int tableGroup,
        boolean clientRetry,
        long stickyEngine) {
    /** Returns the same query with another time left in microseconds. */
    public Query withTimeLeft(long micros) {
        return new Query(
                id,
                queryClass,
                tenant,
                key,
                micros,
                estimatedWorkUs,
                estimatedMemoryMb,
                tableGroup,
                clientRetry,
                stickyEngine);
    }

    /** Returns the same query under another id. */
    public Query withId(long other) {
        return new Query(
                other,
                queryClass,
                tenant,
                key,
                timeLeftUs,
                estimatedWorkUs,
                estimatedMemoryMb,
                tableGroup,
                clientRetry,
                stickyEngine);
    }
}
