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
        int ttl,
        int tokens,
        int renewals,
        int copies,
        int changes,
        int ends,
        int acts,
        int logActs,
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
                name, members, ttl, most, renewals, copies, changes, ends, acts, logActs, stops,
                clocks);
    }

    public LeaseModelBounds renewals(int ofGrant) {
        return new LeaseModelBounds(
                name, members, ttl, tokens, ofGrant, copies, changes, ends, acts, logActs, stops,
                clocks);
    }

    public LeaseModelBounds copies(int most) {
        return new LeaseModelBounds(
                name, members, ttl, tokens, renewals, most, changes, ends, acts, logActs, stops,
                clocks);
    }

    public LeaseModelBounds changes(int most) {
        return new LeaseModelBounds(
                name, members, ttl, tokens, renewals, copies, most, ends, acts, logActs, stops,
                clocks);
    }

    public LeaseModelBounds ends(int most) {
        return new LeaseModelBounds(
                name, members, ttl, tokens, renewals, copies, changes, most, acts, logActs, stops,
                clocks);
    }

    public LeaseModelBounds acts(int ofMember) {
        return new LeaseModelBounds(
                name, members, ttl, tokens, renewals, copies, changes, ends, ofMember, logActs,
                stops, clocks);
    }

    public LeaseModelBounds logActs(int ofMember) {
        return new LeaseModelBounds(
                name, members, ttl, tokens, renewals, copies, changes, ends, acts, ofMember, stops,
                clocks);
    }

    public LeaseModelBounds stops(int ofMember) {
        return new LeaseModelBounds(
                name, members, ttl, tokens, renewals, copies, changes, ends, acts, logActs,
                ofMember, clocks);
    }

    public LeaseModelBounds clocks(String... each) {
        return new LeaseModelBounds(
                name,
                members,
                ttl,
                tokens,
                renewals,
                copies,
                changes,
                ends,
                acts,
                logActs,
                stops,
                List.of(each));
    }

    boolean clocksKeepTheirBound() {
        return clocks.stream().allMatch(each -> each.indexOf('0') < 0);
    }
}
