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
    static final long BURST_BYTES = 256 * 1024;

    static final long BYTES_PER_SECOND = 1 << 20;
    private static final long SECOND = 1_000_000_000L;

    /** What to send. */
    public record OutgoingFrame(int member, byte[] frame) {}

    private final ReplicatedState state;
    private final int self;
    private long room = BURST_BYTES;
    private long lastNanos;
    private boolean started;
    private int turn;
    private long publishedFrames;
    private long droppedFrames;

    /**
     * @param self the member that this process is, which hears of its own copy
     */
    public StatePublisher(ReplicatedState state, int self) {
        this.state = state;
        this.self = self;
    }

    /** Frames that were given out. */
    public long publishedFrames() {
        return publishedFrames;
    }

    /** Frames that found no room. */
    public long droppedFrames() {
        return droppedFrames;
    }

    /**
     * @param news what {@link ReplicatedState#drainStateChanges} gave, all of it
     * @param leads whether this process leads; else there is nothing to tell
     */
    public List<OutgoingFrame> publish(
            List<ReplicatedState.StateChange> news, boolean leads, long nowNanos) {
        // At 1 MiB a second the room is full again within a quarter of one, whatever the clock did.
        long passed = started ? Math.max(0, Math.min(SECOND, nowNanos - lastNanos)) : 0;
        long more = passed * BYTES_PER_SECOND / SECOND;
        if (!started || more > 0) {
            room = Math.min(BURST_BYTES, room + more);
            lastNanos = nowNanos;
            started = true;
        }
        List<OutgoingFrame> out = new ArrayList<>();
        if (!leads) {
            return out;
        }
        for (ReplicatedState.StateChange each : news) {
            long to = each.event().recipient();
            if (to == CommandEffects.Event.NO_MEMBER) {
                continue;
            }
            byte[] frame =
                    new MemberMessage.Notification(each.machine(), each.index(), each.event())
                            .encode();
            if (to != CommandEffects.Event.ALL_MEMBERS) {
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

    private void add(List<OutgoingFrame> out, int member, byte[] frame) {
        if (member == self) {
            return;
        }
        if (room < frame.length) {
            droppedFrames++;
            return;
        }
        room -= frame.length;
        publishedFrames++;
        out.add(new OutgoingFrame(member, frame));
    }
}
