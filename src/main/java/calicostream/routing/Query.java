// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * A query; {@code key} 0: none; {@code costUs} and {@code memoryMb} are estimates, 0: none. {@code
 * pinned}: the one engine that may run it, as what it needs lies there, or 0; such a query never
 * runs twice.
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
    public Query(
            long id,
            int queryClass,
            int tenant,
            long key,
            long timeLeftUs,
            double costUs,
            double memoryMb,
            int tableGroup,
            boolean clientRetry) {
        this(id, queryClass, tenant, key, timeLeftUs, costUs, memoryMb, tableGroup, clientRetry, 0);
    }

    /** The same query with so much time left. */
    public Query withTimeLeft(long us) {
        return new Query(
                id,
                queryClass,
                tenant,
                key,
                us,
                estimatedWorkUs,
                estimatedMemoryMb,
                tableGroup,
                clientRetry,
                stickyEngine);
    }

    /** The same query under another id. */
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
