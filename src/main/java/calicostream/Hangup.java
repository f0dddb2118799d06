// SPDX-License-Identifier: Apache-2.0
package calicostream;

import sun.misc.Signal;

/**
 * SIGHUP, on which a virtual machine ends unless somebody else takes it. It is taken from the program's first
 * moment; one that comes before there is anything to tell is told later.
 */
final class Hangup {
    private Runnable told;
    private boolean missed;

    private Hangup() { }

    static Hangup taken() {
        Hangup hangup = new Hangup();
        Signal.handle(new Signal("HUP"), signal -> hangup.came());
        return hangup;
    }

    private synchronized void came() {
        if (told == null) {
            missed = true;
        } else {
            told.run();
        }
    }

    /** From now on it is told here, on the signal's own thread. */
    synchronized void tell(Runnable to) {
        told = to;
        if (missed) {
            to.run();
        }
    }
}
