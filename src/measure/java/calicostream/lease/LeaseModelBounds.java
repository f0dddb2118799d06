// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import java.util.List;

/**
 * Bounds of a run of {@link LeaseModel}. Four units of time are a tick; a slow clock shows three of
 * them and a fast one five.
 *
 * @param clocks for each start, the leaders' clock and then each member's: s slow, f fast, e exact,
 *     0 stands still
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
     * A time to live of two ticks, two grants and one more for each that waits, no renewal, no
     * fault but time.
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
