// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import calicostream.cluster.config.ClusterConfigException.Code;
import calicostream.cluster.config.SettingsFile.Section;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The cluster as one of its members is told it; {@code docs/operate/cluster-settings.md} has every
 * key. Immutable, and possible as a whole: what contradicts itself never becomes one.
 *
 * @param cluster name of the cluster, the same at all members
 * @param self this member, also where it is none of the first voters
 * @param generation of this member as a voter: raised by one when its folder is lost or has
 *     forgotten
 * @param data the folder that is this member's alone
 * @param marks where its marks are: the same folder, or better one on another device
 * @param voters those that the cluster begins with
 * @param members others that this one is to reach, none of the first voters
 * @param links where this member reaches another one, by its number, if not at that one's own
 *     address
 * @param driftPpm how far any clock may run from real time
 * @param budget session budgets of tenants, where the file turns them on
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
    private static final long SYNC_WARNING =
            500_000_000; // ns, unless a leader is doubted sooner than after twice that
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /**
     * {@code number} is what the protocol knows it by: never given to another member of this
     * cluster.
     */
    public record MemberAddress(String name, int number, InetSocketAddress address) {}

    /**
     * @param missed heartbeats until a leader is doubted; @param queue proposals that wait to be
     *     decided
     */
    public record RaftConfig(
            Duration heartbeatPeriod,
            int missedHeartbeats,
            Duration electionTimeout,
            int maxQueuedProposals,
            int snapshotInterval) {}

    /**
     * @param retry until another voter is tried; @param queue commands of this member that wait
     */
    public record SessionConfig(Duration ttl, Duration retryDelay, int maxQueuedCommands) {}

    /**
     * @param syncWarning a sync that takes longer is told to operators
     */
    public record DiskConfig(long segmentBytes, Duration slowSyncThreshold) {}

    /** Whether a voter of the beginning. */
    public boolean isInitialVoter() {
        return voters.contains(self);
    }

    /** Where this member finds each other one that it knows, by number. */
    public Map<Integer, InetSocketAddress> peerAddresses() {
        Map<Integer, InetSocketAddress> out = new HashMap<>();
        Stream.concat(voters.stream(), members.stream())
                .filter(each -> each.number != self.number)
                .forEach(
                        each ->
                                out.put(
                                        each.number,
                                        linkAddresses.getOrDefault(each.number, each.address)));
        return Map.copyOf(out);
    }

    /**
     * The whole file, where it has nothing but these sections; empty where it leaves the cluster
     * off.
     */
    public static Optional<ClusterConfig> read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        Optional<ClusterConfig> out = of(file);
        if (out.isPresent()) {
            file.requireAllKeysKnown();
        }
        return out;
    }

    /**
     * Empty where the file leaves the cluster off; the caller reads what else it knows and calls
     * {@code done}.
     */
    public static Optional<ClusterConfig> of(SettingsFile file) {
        if (!file.top().flag("enabled", false)) {
            return Optional.empty();
        }
        Map<Object, String> known = new HashMap<>();
        List<MemberAddress> voters = members(file, "voters", known);
        if (voters.size() != 3 && voters.size() != 5) {
            throw file.top()
                    .error(
                            voters.isEmpty() ? Code.MISSING_KEY : Code.IMPOSSIBLE,
                            "voters",
                            voters.size() + " voters, 3 or 5 needed");
        }
        List<MemberAddress> members = members(file, "members", known);
        Section member = file.section("member");
        Section clock = file.section("clock");
        Section lease = file.section("lease");
        RaftConfig raft = raft(file.section("raft"));
        int drift = clock.ppm("drift", "500ppm", "500ppm", "100000ppm");
        MemberAddress self = self(member, voters, members);
        Path data = member.path("data");
        return Optional.of(
                new ClusterConfig(
                        name(file.section("cluster"), "name"),
                        self,
                        member.count("generation", 0, 0, 1 << 20),
                        data,
                        member.has("marks") ? member.path("marks") : data,
                        voters,
                        members,
                        linkAddresses(file, self, voters, members),
                        raft,
                        session(file.section("session"), raft),
                        lease.duration("ttl", "5s", "1s", "1h"),
                        drift,
                        disk(file.section("disk"), raft),
                        BudgetConfig.of(file, drift, doubted(raft).plus(raft.electionTimeout))));
    }

    private static String name(Section section, String key) {
        return name(section, key, section.text(key));
    }

    static String name(Section section, String key, String name) {
        if (!name.matches(NAME)) {
            throw section.error(
                    Code.OUT_OF_RANGE,
                    key,
                    "'"
                            + name
                            + "', 1 to 63 letters, digits, dots, dashes and underscores allowed");
        }
        return name;
    }

    /**
     * @param known what is taken, by whom, so far
     */
    private static List<MemberAddress> members(
            SettingsFile file, String array, Map<Object, String> known) {
        List<MemberAddress> out = new ArrayList<>();
        for (Section each : file.sections(array)) {
            MemberAddress member =
                    new MemberAddress(
                            name(each, "name"),
                            each.count("number", null, 1, 1 << 20),
                            each.address("address", null));
            if (member.address == null) {
                throw each.error(Code.MISSING_KEY, "address", "it is needed");
            }
            String who = (array.equals("voters") ? "voter " : "member ") + member.name;
            unlike(each, "name", member.name, who, known);
            unlike(each, "number", member.number, who, known);
            unlike(each, "address", member.address, who, known);
            out.add(member);
        }
        return List.copyOf(out);
    }

    private static Map<Integer, InetSocketAddress> linkAddresses(
            SettingsFile file,
            MemberAddress self,
            List<MemberAddress> voters,
            List<MemberAddress> members) {
        Map<Integer, InetSocketAddress> out = new HashMap<>();
        for (Section each : file.sections("links")) {
            String name = name(each, "to");
            InetSocketAddress via = each.address("via", null);
            if (via == null) {
                throw each.error(Code.MISSING_KEY, "via", "it is needed");
            }
            MemberAddress to =
                    Stream.concat(voters.stream(), members.stream())
                            .filter(m -> m.name.equals(name))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            each.error(
                                                    Code.OUT_OF_RANGE,
                                                    "to",
                                                    "'"
                                                            + name
                                                            + "' is none of the voters and"
                                                            + " members"));
            if (to.number == self.number) {
                throw each.error(
                        Code.IMPOSSIBLE,
                        "to",
                        "'" + name + "' is this member itself, member.name says");
            }
            if (out.put(to.number, via) != null) {
                throw each.error(Code.OVERLAP, "to", "'" + name + "' has a link already");
            }
        }
        return Map.copyOf(out);
    }

    private static void unlike(
            Section section, String key, Object value, String name, Map<Object, String> known) {
        String other = known.putIfAbsent(value, name);
        if (other != null) {
            throw section.error(Code.OVERLAP, key, text(value) + " is " + other + "'s");
        }
    }

    private static String text(Object value) {
        return value instanceof InetSocketAddress at
                ? at.getAddress().getHostAddress() + ":" + at.getPort()
                : "'" + value + "'";
    }

    /**
     * The number and address of a voter, or of another member that is listed, are in its entry; who
     * is not has its own.
     */
    private static MemberAddress self(
            Section section, List<MemberAddress> voters, List<MemberAddress> members) {
        String name = name(section, "name");
        List<MemberAddress> all = Stream.concat(voters.stream(), members.stream()).toList();
        Optional<MemberAddress> entry = all.stream().filter(v -> v.name.equals(name)).findFirst();
        if (entry.isEmpty() && !section.has("number") && !section.has("listen")) {
            throw section.error(
                    Code.MISSING_KEY,
                    "name",
                    "'"
                            + name
                            + "' is none of the voters "
                            + String.join(", ", voters.stream().map(MemberAddress::name).toList())
                            + "; a member that is none has member.number and member.listen");
        }
        Integer number = entry.map(MemberAddress::number).orElse(null);
        InetSocketAddress address =
                section.address("listen", entry.map(MemberAddress::address).orElse(null));
        if (address == null) {
            throw section.error(
                    Code.MISSING_KEY, "listen", "it is needed for a member that is no voter");
        }
        MemberAddress out =
                new MemberAddress(name, section.count("number", number, 1, 1 << 20), address);
        if (entry.isPresent() && !entry.get().equals(out)) {
            String key = out.number != number ? "number" : "listen";
            throw section.error(
                    Code.OVERLAP,
                    key,
                    (voters.contains(entry.get()) ? "voter " : "member ")
                            + name
                            + " has another one in its own entry");
        }
        for (MemberAddress each : all) {
            if (entry.isEmpty()
                    && (each.number == out.number || each.address.equals(out.address))) {
                Object same = each.number == out.number ? out.number : out.address;
                throw section.error(
                        Code.OVERLAP,
                        each.number == out.number ? "number" : "listen",
                        text(same)
                                + " is "
                                + (voters.contains(each) ? "voter " : "member ")
                                + each.name
                                + "'s");
            }
        }
        return out;
    }

    private static RaftConfig raft(Section section) {
        RaftConfig out =
                new RaftConfig(
                        section.duration("heartbeat", "250ms", "10ms", "10s"),
                        section.count("missed", 4, 2, 100),
                        section.duration("election", "1s", "50ms", "1min"),
                        section.count("queue", 1024, 16, 1 << 20),
                        section.count("snapshot_every", 10_000, 100, 10_000_000));
        if (out.electionTimeout.compareTo(out.heartbeatPeriod) <= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "election",
                    "no longer than raft.heartbeat: no election would end");
        }
        return out;
    }

    private static Duration doubted(RaftConfig raft) {
        return raft.heartbeatPeriod.multipliedBy(raft.missedHeartbeats);
    }

    private static SessionConfig session(Section section, RaftConfig raft) {
        SessionConfig out =
                new SessionConfig(
                        section.duration("ttl", "10s", "100ms", "1h"),
                        section.duration("retry", "1s", "10ms", "1min"),
                        section.count("queue", 256, 1, 1 << 16));
        Duration change = doubted(raft).plus(raft.electionTimeout);
        if (out.ttl.compareTo(change) <= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "ttl",
                    "a session must outlast a change of leader, which takes "
                            + Units.DURATION.text(change.toNanos())
                            + " by raft.heartbeat, raft.missed and raft.election");
        }
        if (out.retryDelay.compareTo(out.ttl) >= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "retry",
                    "no shorter than session.ttl: a session would end before its second try");
        }
        return out;
    }

    private static DiskConfig disk(Section section, RaftConfig raft) {
        String without =
                Units.DURATION.text(
                        Math.min(SYNC_WARNING, doubted(raft).toNanos() / 2) / 1000 * 1000);
        DiskConfig out =
                new DiskConfig(
                        section.bytes("segment", "4MB", "64KB", "1GB"),
                        section.duration("sync_warning", without, "1ms", "1min"));
        if (out.slowSyncThreshold.compareTo(doubted(raft)) >= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "sync_warning",
                    "a leader whose disk is that slow is doubted sooner, after "
                            + Units.DURATION.text(doubted(raft).toNanos())
                            + " by raft.heartbeat and raft.missed");
        }
        return out;
    }
}
