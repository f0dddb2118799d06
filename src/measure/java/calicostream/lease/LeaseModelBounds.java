// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.List;

/**
 * Bounds of {@link LeaseModel}. Immutable; the methods return a copy with one bound changed. A tick
 * is four units of time, of which a slow clock shows three and a fast one five.
 *
 * @param name name in reports
 * @param members number of members that want the lease
 * @param ttlUnits time to live, in units of time
 * @param tokens requests are rejected once this token was granted
 * @param renewals most renewals of a grant
 * @param duplicates most commands that are duplicated
 * @param leaderChanges most changes of the leader
 * @param sessionEnds most sessions that end
 * @param resourceActions most actions of each member at the resource
 * @param logActions most actions of each member in the log
 * @param stops most planned stops of each member
 * @param clocks for each initial state, the leaders' clock and then each member's: s slow, f fast,
 *     e exact, 0 standing still
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
     * A time to live of two ticks, two grants and one more for each waiter, no renewals, and no
     * faults but clock drift.
     */
    public static LeaseModelBounds of(String name, int members) {
        return new LeaseModelBounds(name, members, 8, 2, 0, 0, 0, 0, 0, 0, 0, List.of());
    }

    public LeaseModelBounds tokens(int most) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                most,
                renewals,
                duplicates,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds renewals(int ofGrant) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                ofGrant,
                duplicates,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds duplicates(int most) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                most,
                leaderChanges,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds leaderChanges(int most) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                most,
                sessionEnds,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds sessionEnds(int most) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                leaderChanges,
                most,
                resourceActions,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds resourceActions(int ofMember) {
        return new LeaseModelBounds(
                name,
                members,
                ttlUnits,
                tokens,
                renewals,
                duplicates,
                leaderChanges,
                sessionEnds,
                ofMember,
                logActions,
                stops,
                clocks);
    }

    public LeaseModelBounds logActions(int ofMember) {
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
                ofMember,
                stops,
                clocks);
    }

    public LeaseModelBounds stops(int ofMember) {
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
                ofMember,
                clocks);
    }

    public LeaseModelBounds clocks(String... each) {
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
                List.of(each));
    }

    boolean clocksKeepTheirBound() {
        return clocks.stream().allMatch(each -> each.indexOf('0') < 0);
    }
}
