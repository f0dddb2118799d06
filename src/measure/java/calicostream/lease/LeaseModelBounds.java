// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.List;

/**
 * Bounds of {@link LeaseModel}. Immutable; each method that sets a bound returns a copy. A tick is
 * four units of time, during which a slow clock advances by three units and a fast clock by five.
 *
 * @param name name of the model in reports
 * @param members number of members that acquire the lease
 * @param ttlUnits time to live, in units of time
 * @param tokens once this token is granted, no further commands that acquire the lease are applied
 * @param renewals maximum number of renewals of a grant
 * @param duplicates maximum number of duplicated commands
 * @param leaderChanges maximum number of leader changes
 * @param sessionEnds maximum number of sessions that end
 * @param resourceActions maximum number of actions of each member at the resource
 * @param logActions maximum number of actions of each member in the log
 * @param stops maximum number of planned stops of each member
 * @param clocks for each initial state, one letter for the leaders' clock and one for each member's
 *     clock: s slow, f fast, e exact, 0 stopped
 */
public record LeaseModelBounds(
        String name,
        int members,
        int ttlUnits,
        int tokens,
        int renewals,
        int duplicates,
        int leaderChanges,
        int sessionEnds,
        int resourceActions,
        int logActions,
        int stops,
        List<String> clocks) {
    /**
     * Bounds with a time to live of two ticks, no renewals and no faults except clock drift. The
     * lease can be acquired until token 2 is granted, and is then only granted to queued members.
     */
    public static LeaseModelBounds withoutFaults(String name, int members) {
        return new LeaseModelBounds(name, members, 8, 2, 0, 0, 0, 0, 0, 0, 0, List.of());
    }

    public LeaseModelBounds tokens(int max) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                max,
                renewals,
                duplicates,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds renewals(int maxPerGrant) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                maxPerGrant,
                duplicates,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds duplicates(int max) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                max,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds leaderChanges(int max) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                max,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds sessionEnds(int max) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                leaderChanges,
                max,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds resourceActions(int maxPerMember) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                leaderChanges,
                sessionEnds,
                maxPerMember,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds logActions(int maxPerMember) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                leaderChanges,
                sessionEnds,
                resourceActions,
                maxPerMember,
                stops,
                clocks);
    }

    public LeaseModelBounds stops(int maxPerMember) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                maxPerMember,
                clocks);
    }

    public LeaseModelBounds clocks(String... perInitialState) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                List.of(perInitialState));
    }

    boolean areClocksWithinDriftBound() {
        return clocks.stream().allMatch(clocksOfState -> clocksOfState.indexOf('0') < 0);
    }
}
