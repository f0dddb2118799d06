// SPDX-License-Identifier: Apache-2.0
package calicostream.lease.process;

import calicostream.lease.LeasedTask;
import java.util.List;
import java.util.ServiceLoader;

/**
 * Brings further tasks into a process, so that a test can have a real process act where the test
 * observes it. There are none unless the system property {@link #PROPERTY} names a class that the
 * class path provides as a service of this type. Any thread.
 */
public interface LeasedTaskProvider {
    /** System property with the fully qualified name of the provider to use. */
    String PROPERTY = "calicostream.lease.tasks";

    /** The tasks to run. */
    List<LeasedTask> tasks();

    /**
     * The tasks of the provider that {@link #PROPERTY} names; empty if it is not set, and then no
     * service is loaded.
     *
     * @throws IllegalStateException if the class path does not provide that service
     */
    static List<LeasedTask> configured() {
        String className = System.getProperty(PROPERTY);
        if (className == null) {
            return List.of();
        }
        return ServiceLoader.load(LeasedTaskProvider.class).stream()
                .filter(provider -> provider.type().getName().equals(className))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException(missingService(className)))
                .get()
                .tasks();
    }

    private static String missingService(String className) {
        return "property "
                + PROPERTY
                + " names "
                + className
                + ", which is not a service on the"
                + " class path";
    }
}
