// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The cluster settings of one member; {@code docs/operate/cluster-settings.md} has every key.
 * Immutable and consistent: settings that contradict each other are rejected by {@link #read}.
 *
 * @param cluster name of the cluster, the same at all members
 * @param self this member, also if it is none of the initial voters
 * @param generation of this member as a voter: raised by one when its folder was lost or lost state
 * @param dataFolder used by this member alone
 * @param markersFolder of the durability markers: the same folder, or better one on another device
 * @param voters the initial voters of the cluster
 * @param members other members that this one connects to, none of the initial voters
 * @param linkAddresses where this member reaches another one, by its number, if not at that one's
 *     own address
 * @param driftPpm the greatest drift of any clock from real time
 * @param budget session budgets of tenants; empty if they are off
 */
public record ClusterConfig(
        String cluster,
        MemberAddress self,
        int generation,
        Path dataFolder,
        Path markersFolder,
        List<MemberAddress> voters,
        List<MemberAddress> members,
        Map<Integer, InetSocketAddress> linkAddresses,
        RaftConfig raft,
        SessionConfig session,
        Duration leaseTtl,
        int driftPpm,
        DiskConfig disk,
        Optional<BudgetConfig> budget) {
    /**
     * A member of the cluster.
     *
     * @param number by which the protocol identifies it: never given to another member of the
     *     cluster
     */
    public record MemberAddress(String name, int number, InetSocketAddress address) {}

    /**
     * Settings of the consensus.
     *
     * @param heartbeatPeriod of a leader
     * @param missedHeartbeats until a leader is suspected
     * @param electionTimeout after which an undecided election is repeated
     * @param maxQueuedProposals proposals that wait at the leader
     * @param snapshotInterval entries of the log between two snapshots
     */
    public record RaftConfig(
            Duration heartbeatPeriod,
            int missedHeartbeats,
            Duration electionTimeout,
            int maxQueuedProposals,
            int snapshotInterval) {
        /** The silence after which a leader is suspected. */
        Duration leaderTimeout() {
            return heartbeatPeriod.multipliedBy(missedHeartbeats);
        }

        /** The time that a change of the leader takes. */
        Duration leaderChangeTime() {
            return leaderTimeout().plus(electionTimeout);
        }
    }

    /**
     * Settings of this member's session.
     *
     * @param retryDelay until a request is sent to another voter
     * @param maxQueuedCommands commands of this member that wait
     */
    public record SessionConfig(Duration ttl, Duration retryDelay, int maxQueuedCommands) {}

    /**
     * Settings of the voter's log.
     *
     * @param slowSyncThreshold a sync that takes longer is reported to operators
     */
    public record DiskConfig(long segmentBytes, Duration slowSyncThreshold) {}

    /** Whether this member is one of the initial voters. */
    public boolean isInitialVoter() {
        return voters.contains(self);
    }

    /** Where this member reaches each other member that it knows, by number. */
    public Map<Integer, InetSocketAddress> peerAddresses() {
        Map<Integer, InetSocketAddress> addresses = new HashMap<>();
        Stream.concat(voters.stream(), members.stream())
                .filter(member -> member.number != self.number)
                .forEach(
                        member ->
                                addresses.put(
                                        member.number,
                                        linkAddresses.getOrDefault(member.number, member.address)));
        return Map.copyOf(addresses);
    }

    /**
     * Reads a file that has no other sections than these.
     *
     * @return empty if the file turns the cluster off
     * @throws ClusterConfigException for the first mistake in the file
     */
    public static Optional<ClusterConfig> read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        Optional<ClusterConfig> config = of(file);
        if (config.isPresent()) {
            file.requireAllKeysKnown();
        }
        return config;
    }

    /**
     * Reads the sections of the cluster; the caller reads the other ones and then calls {@link
     * SettingsFile#requireAllKeysKnown}.
     *
     * @return empty if the file turns the cluster off
     * @throws ClusterConfigException for the first mistake in these sections
     */
    public static Optional<ClusterConfig> of(SettingsFile file) {
        return ClusterConfigReader.read(file);
    }
}
