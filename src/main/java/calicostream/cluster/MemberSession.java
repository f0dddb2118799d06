// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A member's side of its session: decides what to send to which voter and when to send it again;
 * pure, one thread, no clock, no randomness but what is handed in. Commands go out one after the
 * other under their number, so a retry counts once; a lost session takes its unanswered commands
 * with it, told as {@link ClusterException.Unsure} for the one that was out and {@link
 * ClusterException.SessionOver} for those that were not. The time of a session counts from before
 * the sending of what was answered, so {@link #isAlive} ends before the leader can expire it.
 */
public final class MemberSession {
    /** What to send. */
    public record OutgoingFrame(int voter, byte[] frame) {}

    /**
     * @param ttlMillis of the session
     * @param retryMillis until another voter is tried
     * @param queue of commands that wait; more are refused
     */
    public record Settings(int member, int ttlMillis, int retryMillis, int maxQueued) {}

    private record Waiting(String machine, byte[] body, Consumer<CommandOutcome> done) {}

    private record Attempt(long id, ReplicatedEntry entry, long sentNanos) {}

    private record Read(
            MemberMessage.Operation ask,
            String machine,
            byte[] question,
            long sinceNanos,
            Consumer<MemberMessage.Reply> done) {}

    private final Settings settings;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private final Map<Long, Read> reads = new HashMap<>();
    private final List<OutgoingFrame> out = new ArrayList<>();
    private List<Integer> updateVoters;
    private int turn;
    private long nextId;
    private long nonce;
    private long sessionId;
    private long sequence;
    private boolean started;
    private long aliveUntil;
    private Waiting running;
    private Attempt attempt;
    private boolean redirected;
    private long lastHeard;
    private boolean closed;

    /**
     * @param mark unlike that of any other process of this member, ever; request ids and nonces
     *     start at it
     */
    public MemberSession(Settings settings, List<Integer> voters, long mark) {
        this.settings = settings;
        this.updateVoters = List.copyOf(voters);
        this.nextId = mark;
        this.nonce = mark;
    }

    /** The voters changed. */
    public void updateVoters(List<Integer> now) {
        updateVoters = List.copyOf(now);
    }

    /** 0 if there is none. */
    public long sessionId() {
        return sessionId;
    }

    /** The session is alive for sure: nobody has expired it, nor can within this call. */
    public boolean isAlive(long nowNanos) {
        return sessionId != 0 && aliveUntil - nowNanos > 0;
    }

    public int pendingCommands() {
        return queue.size() + (running == null ? 0 : 1);
    }

    /** Runs a command once; {@code done} hears how it went, exactly once. */
    public void submit(String machine, byte[] body, Consumer<CommandOutcome> done) {
        if (queue.size() >= settings.maxQueued) {
            done.accept(
                    CommandOutcome.failed(
                            0,
                            ClusterException.QueueFull.CODE,
                            settings.member,
                            queue.size(),
                            settings.maxQueued));
        } else if (body.length > Command.MAX_BODY_BYTES) {
            done.accept(
                    CommandOutcome.failed(
                            0,
                            ClusterException.TooLarge.CODE,
                            body.length,
                            Command.MAX_BODY_BYTES));
        } else {
            queue.add(new Waiting(machine, body, done));
        }
    }

    /**
     * Reads once, without retry; {@code done} hears of it exactly once, of {@link
     * ClusterException.NoQuorum} in time.
     */
    public void read(
            MemberMessage.Operation ask,
            String machine,
            byte[] question,
            long nowNanos,
            Consumer<MemberMessage.Reply> done) {
        if (reads.size() >= settings.maxQueued) {
            done.accept(
                    new MemberMessage.Reply(
                            0,
                            0,
                            CommandOutcome.failed(
                                    0,
                                    ClusterException.QueueFull.CODE,
                                    settings.member,
                                    reads.size(),
                                    settings.maxQueued)));
            return;
        }
        long id = nextId++;
        reads.put(id, new Read(ask, machine, question, nowNanos, done));
        out.add(
                new OutgoingFrame(
                        voter(), new MemberMessage.Request(id, ask, machine, question).encode()));
    }

    /** Gives the session back; nothing may be run after this. */
    public void close() {
        closed = true;
        if (sessionId != 0) {
            out.add(
                    new OutgoingFrame(
                            voter(),
                            new MemberMessage.Request(
                                            nextId++,
                                            MemberMessage.Operation.PROPOSE,
                                            "",
                                            new ReplicatedEntry.CloseSession(sessionId).encode())
                                    .encode()));
            lose();
        }
    }

    /**
     * Called at least every tenth of {@code retryMillis}, and after what may have made something to
     * send.
     */
    public List<OutgoingFrame> tick(long nowNanos) {
        if (!started) {
            started = true;
            lastHeard = nowNanos;
        }
        long retry = settings.retryMillis * 1_000_000L;
        if (attempt != null && nowNanos - attempt.sentNanos > (redirected ? retry / 8 : retry)) {
            turn += redirected ? 0 : 1;
            send(attempt.entry, nowNanos);
        }
        if (attempt == null && !closed) {
            next(nowNanos);
        }
        List<Read> late = new ArrayList<>();
        reads.values().removeIf(read -> nowNanos - read.sinceNanos > 2 * retry && late.add(read));
        for (Read read : late) {
            read.done.accept(
                    new MemberMessage.Reply(
                            0,
                            0,
                            CommandOutcome.failed(
                                    0,
                                    ClusterException.NoQuorum.CODE,
                                    settings.member,
                                    (nowNanos - lastHeard) / 1_000_000)));
        }
        List<OutgoingFrame> taken = List.copyOf(out);
        out.clear();
        return taken;
    }

    private void next(long nowNanos) {
        if (sessionId == 0) {
            send(
                    new ReplicatedEntry.OpenSession(settings.member, nonce, settings.ttlMillis),
                    nowNanos);
        } else if (running != null || !queue.isEmpty()) {
            if (running == null) {
                running = queue.poll();
                sequence++;
            }
            send(
                    new ReplicatedEntry.RunCommand(
                            sessionId, sequence, sequence - 1, running.machine, running.body),
                    nowNanos);
        } else if (nowNanos
                        - (aliveUntil - SessionExpiryMonitor.safeLifetimeNanos(settings.ttlMillis))
                > settings.ttlMillis * 1_000_000L / 4) {
            send(new ReplicatedEntry.KeepAlive(sessionId), nowNanos);
        }
    }

    private void send(ReplicatedEntry entry, long nowNanos) {
        attempt = new Attempt(nextId++, entry, nowNanos);
        redirected = false;
        out.add(
                new OutgoingFrame(
                        voter(),
                        new MemberMessage.Request(
                                        attempt.id,
                                        MemberMessage.Operation.PROPOSE,
                                        "",
                                        entry.encode())
                                .encode()));
    }

    private int voter() {
        return updateVoters.get(Math.floorMod(turn, updateVoters.size()));
    }

    /** A voter answered. What is not, or no longer, asked for is left alone. */
    public void received(int from, MemberMessage.Reply reply, long nowNanos) {
        lastHeard = nowNanos;
        Read read = reads.remove(reply.id());
        if (read != null) {
            // The answer is as old as the copy was, and then some: it may have been asked as soon
            // as it was sent.
            long age =
                    read.ask == MemberMessage.Operation.LOCAL_READ
                            ? reply.ageNanos() + (nowNanos - read.sinceNanos)
                            : 0;
            follow(from, reply.outcome());
            read.done.accept(new MemberMessage.Reply(reply.id(), age, reply.outcome()));
        }
        if (attempt == null || attempt.id != reply.id()) {
            return;
        }
        CommandOutcome outcome = reply.outcome();
        String code = outcome.kind() == CommandOutcome.Kind.FAILED ? outcome.code() : "";
        switch (code) {
            case ClusterException.NotLeader.CODE -> {
                // Soon, not at once: two voters that each take the other for the leader would be
                // flooded.
                follow(from, outcome);
                redirected = true;
            }
            case ClusterException.QueueFull.CODE,
                    ClusterException.Unsure.CODE,
                    ClusterException.NoQuorum.CODE,
                    ClusterException.VoterStopped.CODE -> {
                // Told by time: the retry goes out with the same number.
            }
            case ClusterException.SessionOver.CODE, ClusterException.OutOfOrder.CODE -> lose();
            case ClusterException.UnknownMachine.CODE,
                    ClusterException.Malformed.CODE,
                    ClusterException.TooLarge.CODE -> {
                // Refused before it got into the log: its number is free.
                sequence -= attempt.entry instanceof ReplicatedEntry.RunCommand ? 1 : 0;
                answered(attempt, outcome);
            }
            default -> answered(attempt, outcome);
        }
    }

    private void answered(Attempt to, CommandOutcome outcome) {
        attempt = null;
        if (to.entry instanceof ReplicatedEntry.OpenSession) {
            if (!outcome.isAccepted()) {
                attempt = to;
                return;
            }
            sessionId = new BinaryCodec.Reader("session", outcome.response()).i64();
            sequence = 0;
        }
        aliveUntil = to.sentNanos + SessionExpiryMonitor.safeLifetimeNanos(settings.ttlMillis);
        if (to.entry instanceof ReplicatedEntry.RunCommand) {
            Waiting done = running;
            running = null;
            done.done.accept(outcome);
        }
    }

    private void follow(int from, CommandOutcome outcome) {
        if (outcome.kind() == CommandOutcome.Kind.FAILED
                && outcome.code().equals(ClusterException.NotLeader.CODE)) {
            int leader = ((ClusterException.NotLeader) outcome.error()).leader();
            int at = updateVoters.indexOf(leader);
            turn = at >= 0 && leader != from ? at : turn + 1;
        }
    }

    private void lose() {
        long lost = sessionId;
        sessionId = 0;
        attempt = null;
        nonce++;
        List<Waiting> unsent = new ArrayList<>(queue);
        queue.clear();
        Waiting unsure = running;
        running = null;
        if (unsure != null) {
            unsure.done.accept(
                    CommandOutcome.failed(
                            0, ClusterException.Unsure.CODE, settings.member, lost, sequence));
        }
        for (Waiting waiting : unsent) {
            waiting.done.accept(
                    CommandOutcome.failed(0, ClusterException.SessionOver.CODE, lost, 0));
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
                + " waiting "
                + pendingCommands()
                + " at voter "
                + voter()
                + (attempt == null ? "" : " for " + attempt.entry);
    }
}
