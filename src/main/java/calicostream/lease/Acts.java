// SPDX-License-Identifier: Apache-2.0
package calicostream.lease;

import calicostream.lease.Fenced.Outcome;
import java.util.function.LongSupplier;

/**
 * What a task may do under its lease, in two ways and no third: a command of the log, which is refused where it is applied if the token
 * is over, or an act at a resource that checks the token. The token itself is not handed out, so that nothing can be done "while it
 * holds". Same thread as its {@link Holder}; the clock is monotonic, in nanoseconds, and read anew at each act.
 */
public final class Acts {
    private final Holder holder;
    private final LongSupplier clock;

    public Acts(Holder holder, LongSupplier clock) {
        this.holder = holder;
        this.clock = clock;
    }

    /** The command to send for it, or why not. Whether it was done, its answer tells. */
    public Outcome<LeaseCommand.Act> inLog(byte[] payload) {
        return isHeld() ? Outcome.done(new LeaseCommand.Act(holder.name(), holder.token(), payload)) : Outcome.refused(notHeld());
    }

    /** Does it at the resource, or says why not. */
    public <A, R> Outcome<R> at(Fenced<A, R> resource, A act) {
        return isHeld() ? resource.act(holder.name(), holder.token(), act) : Outcome.refused(notHeld());
    }

    /** A hint alone: it may be over before the caller reads it. Good for not beginning what can't be acted upon. */
    public boolean isHeld() {
        return holder.mayAct(clock.getAsLong());
    }

    private LeaseRejection notHeld() {
        return new LeaseRejection.NotHeldHere(holder.name(), holder.token(), holder.token() == 0 ? 0 : holder.sinceEnd(clock.getAsLong()));
    }
}
