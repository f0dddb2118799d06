// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import calicostream.durable.Identity;
import calicostream.durable.Options;

/**
 * Where a member's log and marks are: in the folders of the settings, one folder for each of its
 * generations. Stateless.
 */
final class Folder {
    private Folder() {}

    static DurableLog open(ClusterConfig config, Disks disks) throws DurableException {
        String part = "generation-" + config.generation();
        Disk data = disks.open(config.data().resolve(part));
        Disk marks =
                config.marks().equals(config.data())
                        ? data
                        : disks.open(config.marks().resolve(part));
        Options options =
                new Options(
                        (int) config.disk().segmentBytes(),
                        config.disk().syncWarning().toNanos(),
                        false,
                        System::nanoTime);
        return DurableLog.open(
                data, marks, new Identity(config.cluster(), config.self().name()), options);
    }
}
