// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import calicostream.durable.Disk;
import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import calicostream.durable.LogIdentity;
import calicostream.durable.LogOptions;

/**
 * Opens a member's log and its durability markers: in the folders of the settings, one folder for
 * each generation. Stateless.
 */
final class MemberDirectory {
    /** Followed by the number of the generation; the name of the folder on the disk. */
    private static final String GENERATION_PREFIX = "generation-";

    private MemberDirectory() {}

    static DurableLog openLog(ClusterConfig config, DiskProvider disks) throws DurableException {
        String folder = GENERATION_PREFIX + config.generation();
        Disk data = disks.open(config.dataFolder().resolve(folder));
        boolean isSameFolder = config.markersFolder().equals(config.dataFolder());
        Disk markers = isSameFolder ? data : disks.open(config.markersFolder().resolve(folder));
        LogOptions options =
                new LogOptions(
                        (int) config.disk().segmentBytes(),
                        config.disk().slowSyncThreshold().toNanos(),
                        false,
                        System::nanoTime);
        LogIdentity identity = new LogIdentity(config.cluster(), config.self().name());
        return DurableLog.open(data, markers, identity, options);
    }
}
