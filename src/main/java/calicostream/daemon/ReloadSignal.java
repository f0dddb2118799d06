// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.config.SettingsException;
import java.lang.reflect.Proxy;

/**
 * SIGHUP, on which a virtual machine ends unless somebody else takes it. It is taken from the
 * program's first moment; one that comes before there is anything to tell is told later. The
 * handler of signals is no part of Java's standard, and the compiler warns of its mere name, so it
 * is looked up.
 */
public final class ReloadSignal {
    private static final String IGNORED = "SIG_IGN";
    private Runnable told;
    private boolean missed;
    private boolean deaf;

    private ReloadSignal() {}

    public static ReloadSignal install() {
        ReloadSignal hangup = new ReloadSignal();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object told =
                    Proxy.newProxyInstance(
                            ReloadSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, args) -> {
                                if (method.getName().equals("handle")) {
                                    hangup.came();
                                }
                                return null;
                            });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    told);
            hangup.deaf = handler.getField(IGNORED).get(null).equals(before);
        } catch (ReflectiveOperationException e) {
            throw new SettingsException("this Java can't take SIGHUP: " + e);
        }
        return hangup;
    }

    /**
     * Whether whoever started the program had the signal ignored (nohup does). A virtual machine
     * leaves it so, whatever it is asked, and the program never hears of it.
     */
    public boolean isIgnored() {
        return deaf;
    }

    private synchronized void came() {
        if (told == null) {
            missed = true;
        } else {
            told.run();
        }
    }

    /** From now on it is told here, on the signal's own thread. */
    public synchronized void setHandler(Runnable to) {
        told = to;
        if (missed) {
            to.run();
        }
    }
}
