// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import calicostream.durable.FileDisk;
import java.nio.file.Path;
import java.util.ServiceLoader;

/**
 * Provides the disks of a member: folders of the file system, unless the system property {@link
 * #PROPERTY} names a class on the class path that is registered as a service of this type, by which
 * a test gives a real process a disk with injected faults. Any thread.
 */
public interface DiskProvider {
    /** The system property with the full name of the class to be used. */
    String PROPERTY = "calicostream.cluster.disks";

    /** Opens a folder and creates it if it does not exist. */
    Disk open(Path folder) throws DurableException;

    /**
     * The provider that the system property names; without the property, folders.
     *
     * @throws MemberException if no service of that name is on the class path
     */
    static DiskProvider fromSystemProperty() {
        String className = System.getProperty(PROPERTY);
        if (className == null) {
            return FileDisk::new;
        }
        return ServiceLoader.load(DiskProvider.class).stream()
                .filter(provider -> provider.type().getName().equals(className))
                .findFirst()
                .orElseThrow(() -> missing(className))
                .get();
    }

    private static MemberException missing(String className) {
        return new MemberException(
                "member-disks-missing",
                "the property "
                        + PROPERTY
                        + " names "
                        + className
                        + ", which is no service on the class path",
                "start without the property, but for a test");
    }
}
