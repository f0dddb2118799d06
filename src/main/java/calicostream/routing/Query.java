// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A query of a client.
 *
 * @param id id, unique among all queries of the gateway
 * @param queryClass index of its class
 * @param tenant index of its tenant
 * @param key ordered key, whose queries run in order if the class requires it; 0 for none
 * @param timeLeftUs time until the client's deadline in microseconds
 * @param estimatedWorkUs estimated work in core-microseconds, 0 for none
 * @param estimatedMemoryMb estimated memory in megabytes, 0 for none
 * @param tableGroup number of the table group that the query reads
 * @param clientRetry whether the query is a retry by the client
 * @param stickyEngine id of the only engine that has the state needed by the query, 0 for none; a
 *     query with a sticky engine never runs twice
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
    /** Returns a copy with another time left in microseconds. */
    public Query withTimeLeft(long newTimeLeftUs) {
        return new Query(
                id,
                queryClass,
                tenant,
                key,
                newTimeLeftUs,
                estimatedWorkUs,
                estimatedMemoryMb,
                tableGroup,
                clientRetry,
                stickyEngine);
    }

    /** Returns a copy with another id. */
    public Query withId(long newId) {
        return new Query(
                newId,
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
