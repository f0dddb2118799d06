// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import calicostream.durable.FileDisk;
import java.nio.file.Path;
import java.util.ServiceLoader;

/**
 * Makes the disks of a member. Folders of the file system, unless the system property {@link
 * #PROPERTY} names a class that the class path brings as a service of this type: so a test gives a
 * real process a disk that fails or lies. Any thread.
 */
public interface DiskProvider {
    /** The full name of the class whose disks are used. */
    String PROPERTY = "calicostream.cluster.disks";

    /** The folder is made if it is not there. */
    Disk open(Path folder) throws DurableException;

    /** Those that the property names; without it no service is looked for. */
    static DiskProvider fromSystemProperty() {
        String name = System.getProperty(PROPERTY);
        if (name == null) {
            return FileDisk::new;
        }
        return ServiceLoader.load(DiskProvider.class).stream()
                .filter(each -> each.type().getName().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new MemberException(
                                        "member-disks-missing",
                                        "the property "
                                                + PROPERTY
                                                + " names "
                                                + name
                                                + ", which the class path has not as a service",
                                        "start without the property, but for a test"))
                .get();
    }
}
