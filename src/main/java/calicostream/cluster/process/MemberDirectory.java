// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import calicostream.durable.LogIdentity;
import calicostream.durable.LogOptions;

/**
 * Where a member's log and marks are: in the folders of the settings, one folder for each of its
 * generations. Stateless.
 */
final class MemberDirectory {
    private MemberDirectory() {}

    static DurableLog openLog(ClusterConfig config, DiskProvider disks) throws DurableException {
        String part = "generation-" + config.generation();
        Disk data = disks.open(config.dataFolder().resolve(part));
        Disk marks =
                config.markersFolder().equals(config.dataFolder())
                        ? data
                        : disks.open(config.markersFolder().resolve(part));
        LogOptions options =
                new LogOptions(
                        (int) config.disk().segmentBytes(),
                        config.disk().slowSyncThreshold().toNanos(),
                        false,
                        System::nanoTime);
        return DurableLog.open(
                data, marks, new LogIdentity(config.cluster(), config.self().name()), options);
    }
}
