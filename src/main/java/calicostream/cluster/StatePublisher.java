// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * What the leader tells members that hold no copy of the state: whom, and how much of it. Pure, one
 * thread, beside a {@link ReplicatedState}. It is best effort and bounded: what finds no room is
 * dropped and counted, never kept, since news that wait are no news and whoever needs to be sure
 * asks. Only the leader tells, so that a member hears a thing once as a rule; a leader that was
 * stopped may tell what is long over, so news must be worth nothing but a reason to ask or to
 * hurry.
 */
public final class StatePublisher {
    /** Bytes that may go out at once, and bytes a second after that. */
    static final long ROOM = 256 * 1024;

    static final long PER_SECOND = 1 << 20;
    private static final long SECOND = 1_000_000_000L;

    /** What to send. */
    public record Telling(int member, byte[] frame) {}

    private final ReplicatedState state;
    private final int self;
    private long room = ROOM;
    private long lastNanos;
    private boolean started;
    private int turn;
    private long told;
    private long dropped;

    /**
     * @param self the member that this process is, which hears of its own copy
     */
    public StatePublisher(ReplicatedState state, int self) {
        this.state = state;
        this.self = self;
    }

    /** Frames that were given out. */
    public long told() {
        return told;
    }

    /** Frames that found no room. */
    public long dropped() {
        return dropped;
    }

    /**
     * @param news what {@link ReplicatedState#takeNews} gave, all of it
     * @param leads whether this process leads; else there is nothing to tell
     */
    public List<Telling> tell(
            List<ReplicatedState.StateChange> news, boolean leads, long nowNanos) {
        // At 1 MiB a second the room is full again within a quarter of one, whatever the clock did.
        long passed = started ? Math.max(0, Math.min(SECOND, nowNanos - lastNanos)) : 0;
        long more = passed * PER_SECOND / SECOND;
        if (!started || more > 0) {
            room = Math.min(ROOM, room + more);
            lastNanos = nowNanos;
            started = true;
        }
        List<Telling> out = new ArrayList<>();
        if (!leads) {
            return out;
        }
        for (ReplicatedState.StateChange each : news) {
            long to = each.event().to();
            if (to == CommandEffects.Event.NOBODY) {
                continue;
            }
            byte[] frame =
                    new MemberMessage.News(each.machine(), each.index(), each.event()).encode();
            if (to != CommandEffects.Event.ALL) {
                state.sessions().find(to).ifPresent(session -> add(out, session.member, frame));
                continue;
            }
            List<Integer> members =
                    state.sessions().alive().stream()
                            .map(session -> session.member)
                            .distinct()
                            .toList();
            // Another first each time, so that it is not always the same who hear nothing when
            // there is no room for all.
            turn++;
            for (int i = 0; i < members.size(); i++) {
                add(out, members.get(Math.floorMod(turn + i, members.size())), frame);
            }
        }
        return out;
    }

    private void add(List<Telling> out, int member, byte[] frame) {
        if (member == self) {
            return;
        }
        if (room < frame.length) {
            dropped++;
            return;
        }
        room -= frame.length;
        told++;
        out.add(new Telling(member, frame));
    }
}
