// SPDX-License-Identifier: Apache-2.0
package calicostream.lease.process;

import calicostream.lease.LeasedTask;
import java.util.List;
import java.util.ServiceLoader;

/**
 * Brings further tasks into a process. None, unless the system property {@link #PROPERTY} names a
 * class that the class path brings as a service of this type: so a test has a real process act
 * where the test can see it. Any thread.
 */
public interface LeasedTaskProvider {
    /** The full name of the class whose tasks are run. */
    String PROPERTY = "calicostream.lease.tasks";

    List<LeasedTask> tasks();

    /**
     * Those of the class that the property names; without it no service is looked for.
     *
     * @throws IllegalStateException if the class path has it not
     */
    static List<LeasedTask> chosen() {
        String name = System.getProperty(PROPERTY);
        if (name == null) {
            return List.of();
        }
        return ServiceLoader.load(LeasedTaskProvider.class).stream()
                .filter(each -> each.type().getName().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalStateException(
                                        "the property "
                                                + PROPERTY
                                                + " names "
                                                + name
                                                + ", which the class path has not as a service"))
                .get()
                .tasks();
    }
}
