// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A member's client session with exactly-once commands: decides what to send to which voter and
 * when to retry. Commands are sent one at a time under their sequence number, so a retry is applied
 * once. When the session is lost, its unanswered commands fail: with {@link
 * ClusterException.Unsure} the one that was sent, with {@link ClusterException.SessionEnded} the
 * ones that were queued. The lifetime of the session is measured from before the request that was
 * answered, so {@link #isAlive} ends before the leader can expire the session. Pure: used by one
 * thread, with time as a parameter and no randomness.
 */
public final class MemberSession {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** After a redirect the retry comes sooner: the fraction of the retry delay. */
    private static final int REDIRECT_DELAY_DIVISOR = 8;

    /** The session is renewed after this fraction of its time to live. */
    private static final int KEEP_ALIVE_DIVISOR = 4;

    /** A read without a reply fails after this many retry delays. */
    private static final int READ_TIMEOUT_RETRIES = 2;

    /**
     * A frame to send.
     *
     * @param voter number of the recipient
     */
    public record OutgoingFrame(int voter, byte[] frame) {}

    /**
     * Fixed parameters.
     *
     * @param member number of this member
     * @param ttlMillis the session's time to live
     * @param retryMillis delay until a request without a reply is sent to another voter
     * @param maxQueued commands that wait, and reads without a reply; more are rejected
     */
    public record Settings(int member, int ttlMillis, int retryMillis, int maxQueued) {}

    private record PendingCommand(
            String machine, byte[] body, Consumer<CommandOutcome> completion) {}

    private record Attempt(long requestId, ReplicatedEntry entry, long sentNanos) {}

    private record PendingRead(
            MemberMessage.Operation operation,
            long sentNanos,
            Consumer<MemberMessage.Reply> completion) {}

    private final Settings settings;
    private final VoterSelector voters;
    private final ArrayDeque<PendingCommand> queue = new ArrayDeque<>();
    private final Map<Long, PendingRead> reads = new HashMap<>();
    private final List<OutgoingFrame> outgoing = new ArrayList<>();
    private long nextRequestId;
    private long nonce;
    private long sessionId;
    private long sequence;
    private boolean started;
    private long aliveUntilNanos;
    private PendingCommand running;
    private Attempt attempt;
    private boolean redirected;
    private long lastReplyNanos;
    private boolean closed;

    /**
     * Starts without a session; the first {@link #tick} asks for one.
     *
     * @param voters numbers of the voters
     * @param firstNonce unlike that of any other process of this member, ever; request ids and
     *     session nonces count up from it
     */
    public MemberSession(Settings settings, List<Integer> voters, long firstNonce) {
        this.settings = settings;
        this.voters = new VoterSelector(voters);
        this.nextRequestId = firstNonce;
        this.nonce = firstNonce;
    }

    /** Replaces the voters that requests are sent to. */
    public void updateVoters(List<Integer> newVoters) {
        voters.update(newVoters);
    }

    /** The number of the session; 0 without one. */
    public long sessionId() {
        return sessionId;
    }

    /** Whether the session is certainly alive: nobody can have expired it at {@code nowNanos}. */
    public boolean isAlive(long nowNanos) {
        return sessionId != 0 && aliveUntilNanos - nowNanos > 0;
    }

    /** The number of commands that are queued or running. */
    public int pendingCommands() {
        return queue.size() + (running == null ? 0 : 1);
    }

    /**
     * Queues a command that is applied at most once.
     *
     * @param machine name of the state machine
     * @param body at most {@link Command#MAX_BODY_BYTES} bytes
     * @param completion called exactly once with the outcome, on the owning thread
     */
    public void submit(String machine, byte[] body, Consumer<CommandOutcome> completion) {
        if (queue.size() >= settings.maxQueued) {
            completion.accept(queueFull(queue.size()));
        } else if (body.length > Command.MAX_BODY_BYTES) {
            completion.accept(
                    CommandOutcome.failed(
                            0,
                            ClusterException.TooLarge.CODE,
                            body.length,
                            Command.MAX_BODY_BYTES));
        } else {
            queue.add(new PendingCommand(machine, body, completion));
        }
    }

    private CommandOutcome queueFull(int queued) {
        return CommandOutcome.failed(
                0, ClusterException.QueueFull.CODE, settings.member, queued, settings.maxQueued);
    }

    /**
     * Sends a read once, without a retry.
     *
     * @param operation {@link MemberMessage.Operation#READ} or {@link
     *     MemberMessage.Operation#LOCAL_READ}
     * @param completion called exactly once on the owning thread; without a reply in time with
     *     {@link ClusterException.NoQuorum}
     */
    public void read(
            MemberMessage.Operation operation,
            String machine,
            byte[] question,
            long nowNanos,
            Consumer<MemberMessage.Reply> completion) {
        if (reads.size() >= settings.maxQueued) {
            completion.accept(new MemberMessage.Reply(0, 0, queueFull(reads.size())));
            return;
        }
        long requestId = nextRequestId++;
        reads.put(requestId, new PendingRead(operation, nowNanos, completion));
        sendRequest(new MemberMessage.Request(requestId, operation, machine, question));
    }

    /** Ends the session; no command may be submitted afterwards. */
    public void close() {
        closed = true;
        if (sessionId != 0) {
            sendEntry(nextRequestId++, new ReplicatedEntry.CloseSession(sessionId));
            loseSession();
        }
    }

    /**
     * Makes progress: sends what is due and fails reads that timed out. Called at least every tenth
     * of the retry delay, and after every call that may have something to send.
     *
     * @return frames to send
     */
    public List<OutgoingFrame> tick(long nowNanos) {
        if (!started) {
            started = true;
            lastReplyNanos = nowNanos;
        }
        retryAttempt(nowNanos);
        if (attempt == null && !closed) {
            sendNext(nowNanos);
        }
        failLateReads(nowNanos);
        List<OutgoingFrame> frames = List.copyOf(outgoing);
        outgoing.clear();
        return frames;
    }

    private long retryNanos() {
        return settings.retryMillis * NANOS_PER_MILLI;
    }

    private void retryAttempt(long nowNanos) {
        long delayNanos = redirected ? retryNanos() / REDIRECT_DELAY_DIVISOR : retryNanos();
        if (attempt == null || nowNanos - attempt.sentNanos <= delayNanos) {
            return;
        }
        if (!redirected) {
            voters.advance();
        }
        sendAttempt(attempt.entry, nowNanos);
    }

    private void sendNext(long nowNanos) {
        if (sessionId == 0) {
            sendAttempt(
                    new ReplicatedEntry.OpenSession(settings.member, nonce, settings.ttlMillis),
                    nowNanos);
        } else if (running != null || !queue.isEmpty()) {
            if (running == null) {
                running = queue.poll();
                sequence++;
            }
            sendAttempt(
                    new ReplicatedEntry.RunCommand(
                            sessionId, sequence, sequence - 1, running.machine, running.body),
                    nowNanos);
        } else if (isRenewalDue(nowNanos)) {
            sendAttempt(new ReplicatedEntry.KeepAlive(sessionId), nowNanos);
        }
    }

    private boolean isRenewalDue(long nowNanos) {
        long renewedNanos =
                aliveUntilNanos - SessionExpiryMonitor.safeLifetimeNanos(settings.ttlMillis);
        return nowNanos - renewedNanos > settings.ttlMillis * NANOS_PER_MILLI / KEEP_ALIVE_DIVISOR;
    }

    private void failLateReads(long nowNanos) {
        List<PendingRead> late = new ArrayList<>();
        reads.values()
                .removeIf(
                        read ->
                                nowNanos - read.sentNanos > READ_TIMEOUT_RETRIES * retryNanos()
                                        && late.add(read));
        for (PendingRead read : late) {
            CommandOutcome noQuorum =
                    CommandOutcome.failed(
                            0,
                            ClusterException.NoQuorum.CODE,
                            settings.member,
                            (nowNanos - lastReplyNanos) / NANOS_PER_MILLI);
            read.completion.accept(new MemberMessage.Reply(0, 0, noQuorum));
        }
    }

    private void sendAttempt(ReplicatedEntry entry, long nowNanos) {
        attempt = new Attempt(nextRequestId++, entry, nowNanos);
        redirected = false;
        sendEntry(attempt.requestId, entry);
    }

    private void sendEntry(long requestId, ReplicatedEntry entry) {
        sendRequest(
                new MemberMessage.Request(
                        requestId, MemberMessage.Operation.PROPOSE, "", entry.encode()));
    }

    private void sendRequest(MemberMessage.Request request) {
        outgoing.add(new OutgoingFrame(voters.current(), request.encode()));
    }

    /**
     * Handles a voter's reply; replies to requests that are no longer pending are ignored.
     *
     * @param from number of the voter
     */
    public void received(int from, MemberMessage.Reply reply, long nowNanos) {
        lastReplyNanos = nowNanos;
        PendingRead read = reads.remove(reply.id());
        if (read != null) {
            completeRead(read, from, reply, nowNanos);
        }
        if (attempt != null && attempt.requestId == reply.id()) {
            handleAttemptReply(from, reply.outcome());
        }
    }

    private void completeRead(
            PendingRead read, int from, MemberMessage.Reply reply, long nowNanos) {
        // The copy may have been read as soon as the request was sent, so the round trip counts.
        long ageNanos =
                read.operation == MemberMessage.Operation.LOCAL_READ
                        ? reply.ageNanos() + (nowNanos - read.sentNanos)
                        : 0;
        followRedirect(from, reply.outcome());
        read.completion.accept(new MemberMessage.Reply(reply.id(), ageNanos, reply.outcome()));
    }

    private void handleAttemptReply(int from, CommandOutcome outcome) {
        String failureCode = outcome.kind() == CommandOutcome.Kind.FAILED ? outcome.code() : "";
        switch (failureCode) {
            case ClusterException.NotLeader.CODE -> {
                // Retried soon, not at once: two voters that each take the other for the leader
                // would be flooded.
                followRedirect(from, outcome);
                redirected = true;
            }
            case ClusterException.QueueFull.CODE,
                    ClusterException.OutcomeUnknown.CODE,
                    ClusterException.NoQuorum.CODE,
                    ClusterException.VoterStopped.CODE -> {
                // The retry goes out after the usual delay, with the same sequence number.
            }
            case ClusterException.SessionEnded.CODE, ClusterException.SequenceOutOfOrder.CODE ->
                    loseSession();
            case ClusterException.UnknownStateMachine.CODE,
                    ClusterException.Malformed.CODE,
                    ClusterException.TooLarge.CODE -> {
                // Rejected before it got into the log: its sequence number is still unused.
                if (attempt.entry instanceof ReplicatedEntry.RunCommand) {
                    sequence--;
                }
                completeAttempt(outcome);
            }
            default -> completeAttempt(outcome);
        }
    }

    private void completeAttempt(CommandOutcome outcome) {
        Attempt completed = attempt;
        boolean isOpening = completed.entry instanceof ReplicatedEntry.OpenSession;
        if (isOpening && !outcome.isAccepted()) {
            return; // Retried after the usual delay.
        }
        attempt = null;
        if (isOpening) {
            sessionId = new BinaryCodec.Reader("session", outcome.response()).i64();
            sequence = 0;
        }
        aliveUntilNanos =
                completed.sentNanos + SessionExpiryMonitor.safeLifetimeNanos(settings.ttlMillis);
        if (completed.entry instanceof ReplicatedEntry.RunCommand) {
            PendingCommand command = running;
            running = null;
            command.completion.accept(outcome);
        }
    }

    private void followRedirect(int from, CommandOutcome outcome) {
        if (outcome.isFailure(ClusterException.NotLeader.CODE)) {
            voters.redirect(from, ((ClusterException.NotLeader) outcome.error()).leader());
        }
    }

    private void loseSession() {
        long lostId = sessionId;
        sessionId = 0;
        attempt = null;
        nonce++;
        List<PendingCommand> unsent = new ArrayList<>(queue);
        queue.clear();
        PendingCommand sent = running;
        running = null;
        if (sent != null) {
            sent.completion.accept(
                    CommandOutcome.failed(
                            0,
                            ClusterException.OutcomeUnknown.CODE,
                            settings.member,
                            lostId,
                            sequence));
        }
        for (PendingCommand command : unsent) {
            command.completion.accept(
                    CommandOutcome.failed(0, ClusterException.SessionEnded.CODE, lostId, 0));
        }
    }

    @Override
    public String toString() {
        return "member "
                + settings.member
                + " session "
                + sessionId
                + " command "
                + sequence
                + " pending "
                + pendingCommands()
                + " at voter "
                + voters.current()
                + (attempt == null ? "" : " for " + attempt.entry);
    }
}
