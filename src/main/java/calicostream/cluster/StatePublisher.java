// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which events the leader sends to members that hold no copy of the state. Publishing is
 * best effort under a rate limit: what exceeds it is dropped and counted, never queued, since an
 * outdated notification is useless and a member that needs certainty queries the state. Only the
 * leader publishes, so members normally receive an event once; a leader that was paused may publish
 * events that are long superseded, so a notification must be no more than a reason to query. Pure;
 * used by one thread, beside a {@link ReplicatedState}.
 */
public final class StatePublisher {
    /** Bytes that may be sent at once. */
    static final long BURST_BYTES = 256 * 1024;

    /** Bytes that may be sent per second beyond the burst. */
    static final long BYTES_PER_SECOND = 1 << 20;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * A frame to send.
     *
     * @param member number of the recipient
     */
    public record OutgoingFrame(int member, byte[] frame) {}

    private final ReplicatedState state;
    private final int self;
    private long availableBytes = BURST_BYTES;
    private long lastNanos;
    private boolean started;
    private int firstRecipient;
    private long publishedFrames;
    private long droppedFrames;

    /**
     * Starts with the full burst available.
     *
     * @param state read only, for the members' sessions
     * @param self number of the member of this process, which reads its own copy
     */
    public StatePublisher(ReplicatedState state, int self) {
        this.state = state;
        this.self = self;
    }

    /** The number of frames returned by {@link #publish} so far. */
    public long publishedFrames() {
        return publishedFrames;
    }

    /** The number of frames dropped for the rate limit so far. */
    public long droppedFrames() {
        return droppedFrames;
    }

    /**
     * Selects recipients and frames.
     *
     * @param changes everything that {@link ReplicatedState#drainStateChanges} returned
     * @param leads whether this process is the leader; otherwise nothing is sent
     * @param nowNanos of a monotonic clock
     */
    public List<OutgoingFrame> publish(
            List<ReplicatedState.StateChange> changes, boolean leads, long nowNanos) {
        refill(nowNanos);
        List<OutgoingFrame> frames = new ArrayList<>();
        if (!leads) {
            return frames;
        }
        for (ReplicatedState.StateChange change : changes) {
            long recipient = change.event().recipient();
            if (recipient == CommandEffects.Event.NO_MEMBER) {
                continue;
            }
            byte[] frame =
                    new MemberMessage.Notification(change.machine(), change.index(), change.event())
                            .encode();
            if (recipient == CommandEffects.Event.ALL_MEMBERS) {
                addForAllMembers(frames, frame);
            } else {
                state.sessions()
                        .find(recipient)
                        .ifPresent(session -> add(frames, session.member(), frame));
            }
        }
        return frames;
    }

    /** At this rate the burst is full again within a second, however far the clock jumped. */
    private void refill(long nowNanos) {
        long passedNanos =
                started ? Math.max(0, Math.min(NANOS_PER_SECOND, nowNanos - lastNanos)) : 0;
        long refilledBytes = passedNanos * BYTES_PER_SECOND / NANOS_PER_SECOND;
        if (!started || refilledBytes > 0) {
            availableBytes = Math.min(BURST_BYTES, availableBytes + refilledBytes);
            lastNanos = nowNanos;
            started = true;
        }
    }

    /** Starts with another member each time, so that the limit does not always hit the same. */
    private void addForAllMembers(List<OutgoingFrame> frames, byte[] frame) {
        List<Integer> members =
                state.sessions().alive().stream()
                        .map(SessionTable.Session::member)
                        .distinct()
                        .toList();
        firstRecipient++;
        for (int i = 0; i < members.size(); i++) {
            add(frames, members.get(Math.floorMod(firstRecipient + i, members.size())), frame);
        }
    }

    private void add(List<OutgoingFrame> frames, int member, byte[] frame) {
        if (member == self) {
            return;
        }
        if (availableBytes < frame.length) {
            droppedFrames++;
            return;
        }
        availableBytes -= frame.length;
        publishedFrames++;
        frames.add(new OutgoingFrame(member, frame));
    }
}
