// SPDX-License-Identifier: Apache-2.0
package calicostream.lease.process;

import calicostream.lease.LeasedTask;
import java.util.List;
import java.util.ServiceLoader;

/**
 * Adds tasks to a process, so that a test can observe the actions of a real process. No tasks are
 * added unless the system property {@link #PROPERTY} names a class that the class path provides as
 * a service of this type. May be called from any thread.
 */
public interface LeasedTaskProvider {
    /** System property that holds the fully qualified class name of the provider to use. */
    String PROPERTY = "calicostream.lease.tasks";

    /** The tasks to add. */
    List<LeasedTask> tasks();

    /**
     * The tasks of the provider that {@link #PROPERTY} names. If the property is not set, the list
     * is empty and no service is loaded.
     *
     * @throws IllegalStateException if the class path does not provide the named service
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
