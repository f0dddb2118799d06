// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.routing.Query;

/** What a client wants, over all its tries: one is at one front end at a time. */
final class GeneratedRequest {
    private static final double OVER_ESTIMATE = 1.25; // what an engine grants by itself
    private static final double OVER_USUAL =
            1.5; // the same of what the class usually needs, where there is no estimate
    final long at;
    final int frontEnd;
    final int lane;
    final int tenant;
    final long key;
    final int group;
    final double workUs;
    final double memoryMb;
    final double toldWorkUs;
    final double toldMemoryMb;
    final long deadline;
    final double worth;
    final long aimUs;
    int tries;
    double served;

    GeneratedRequest(
            long at,
            int frontEnd,
            int lane,
            int tenant,
            long key,
            int group,
            double workUs,
            double memoryMb,
            double toldWorkUs,
            double toldMemoryMb,
            long deadline,
            double worth,
            long aimUs) {
        this.at = at;
        this.frontEnd = frontEnd;
        this.lane = lane;
        this.tenant = tenant;
        this.key = key;
        this.group = group;
        this.workUs = workUs;
        this.memoryMb = memoryMb;
        this.toldWorkUs = toldWorkUs;
        this.toldMemoryMb = toldMemoryMb;
        this.deadline = deadline;
        this.worth = worth;
        this.aimUs = aimUs;
    }

    /**
     * What an engine grants by itself; it knows no more of what the query needs than the client
     * tells.
     */
    double guessedMb(double usualMb) {
        return toldMemoryMb > 0 ? OVER_ESTIMATE * toldMemoryMb : OVER_USUAL * usualMb;
    }

    Query query(long id, long now, boolean marked) {
        return new Query(
                id,
                lane,
                tenant,
                key,
                deadline - now,
                toldWorkUs,
                toldMemoryMb,
                group,
                marked && tries > 1,
                0);
    }
}
