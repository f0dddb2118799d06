// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import java.util.ArrayList;
import java.util.List;

/**
 * What the stand-ins saw, in one process and by its one monotonic clock (nanoseconds). Any thread
 * adds; {@link #copy} is what a judge reads. Nothing in here was told by a process of the program
 * about itself.
 */
final class OperationHistory {
    /** A client wrote a whole request to a front end. */
    record Asked(String id, int front, long at) {}

    /** A client read a whole answer. */
    record Answered(String id, int front, long at, Answer answer) {}

    enum Answer {
        SERVED,
        REFUSED,
        DEADLINE,
        FAILED
    }

    /**
     * The connection ended with requests on it that had no answer; {@code expected} if the rig had
     * ended that process.
     */
    record Dropped(String id, int front, long at, boolean expected) {}

    /**
     * An engine ran a request from then to then; {@code to} is {@link Long#MAX_VALUE} where it
     * never ended.
     */
    record Ran(String id, int engine, long from, long to) {}

    /**
     * A resource was asked to act, and did or refused. {@code number} is the actor's count of its
     * own acts.
     */
    record Act(String lease, long token, String who, long number, long at, boolean done) {}

    /** The rig did something to the fleet. */
    record Done(String what, long at) {}

    record All(
            List<Asked> asked,
            List<Answered> answered,
            List<Dropped> dropped,
            List<Ran> ran,
            List<Act> acts,
            List<Done> done) {}

    private final List<Asked> asked = new ArrayList<>();
    private final List<Answered> answered = new ArrayList<>();
    private final List<Dropped> dropped = new ArrayList<>();
    private final List<Ran> ran = new ArrayList<>();
    private final List<Act> acts = new ArrayList<>();
    private final List<Done> done = new ArrayList<>();

    synchronized void add(Asked each) {
        asked.add(each);
    }

    synchronized void add(Answered each) {
        answered.add(each);
    }

    synchronized void add(Dropped each) {
        dropped.add(each);
    }

    synchronized void add(Ran each) {
        ran.add(each);
    }

    synchronized void add(Act each) {
        acts.add(each);
    }

    synchronized void did(String what) {
        done.add(new Done(what, System.nanoTime()));
    }

    synchronized All copy() {
        return new All(
                List.copyOf(asked),
                List.copyOf(answered),
                List.copyOf(dropped),
                List.copyOf(ran),
                List.copyOf(acts),
                List.copyOf(done));
    }
}
