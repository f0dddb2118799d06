// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import java.util.concurrent.ThreadFactory;

/** Threads of stand-ins: they end with the connection that they serve, or with the rig. */
final class FakeServers {
    interface Work {
        void run() throws Exception;
    }

    private FakeServers() {}

    static void daemon(String name, Work work) {
        daemons(name)
                .newThread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The other side is gone; what was recorded by then is what counts.
                            }
                        })
                .start();
    }

    static ThreadFactory daemons(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
