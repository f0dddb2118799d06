// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.config.SettingsException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which terminates a Java virtual machine that has no handler for it. The handler
 * is installed at the program's start; a signal that comes before {@link #setHandler} is delivered
 * by that call. Signal handlers are no part of Java's standard, and the compiler warns of their
 * names, so they are used by reflection. Safe for use by several threads.
 */
public final class ReloadSignal {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";
    private static final String IGNORED_FIELD = "SIG_IGN";
    private static final String SIGNAL_NAME = "HUP";

    private Runnable handler;
    private boolean received;
    private boolean ignored;

    private ReloadSignal() {}

    /**
     * Starts to handle the signal.
     *
     * @throws SettingsException where this Java can't handle signals
     */
    public static ReloadSignal install() {
        ReloadSignal reloadSignal = new ReloadSignal();
        try {
            reloadSignal.register();
        } catch (ReflectiveOperationException e) {
            throw new SettingsException("this Java can't take SIGHUP: " + e);
        }
        return reloadSignal;
    }

    private void register() throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName(SIGNAL_CLASS);
        Class<?> handlerClass = Class.forName(HANDLER_CLASS);
        Object signal = signalClass.getConstructor(String.class).newInstance(SIGNAL_NAME);
        Object previousHandler =
                signalClass
                        .getMethod("handle", signalClass, handlerClass)
                        .invoke(null, signal, proxyHandler(handlerClass));
        ignored = handlerClass.getField(IGNORED_FIELD).get(null).equals(previousHandler);
    }

    private Object proxyHandler(Class<?> handlerClass) {
        InvocationHandler invocationHandler =
                (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        onSignal();
                    }
                    return null;
                };
        return Proxy.newProxyInstance(
                ReloadSignal.class.getClassLoader(),
                new Class<?>[] {handlerClass},
                invocationHandler);
    }

    /**
     * Whether the signal was ignored when the program started, as by {@code nohup}. A virtual
     * machine leaves it so, and the program never receives it.
     */
    public boolean isIgnored() {
        return ignored;
    }

    private synchronized void onSignal() {
        if (handler == null) {
            received = true;
        } else {
            handler.run();
        }
    }

    /** Sets what runs on each signal, on the thread of signals; at once where one has come. */
    public synchronized void setHandler(Runnable newHandler) {
        handler = newHandler;
        if (received) {
            newHandler.run();
        }
    }
}
