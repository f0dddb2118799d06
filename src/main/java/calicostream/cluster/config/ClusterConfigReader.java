// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import calicostream.cluster.config.ClusterConfig.DiskConfig;
import calicostream.cluster.config.ClusterConfig.MemberAddress;
import calicostream.cluster.config.ClusterConfig.RaftConfig;
import calicostream.cluster.config.ClusterConfig.SessionConfig;
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

/** Reads and validates the sections of a {@link SettingsFile} that make a {@link ClusterConfig}. */
final class ClusterConfigReader {
    private static final int MAX_MEMBER_NUMBER = 1 << 20;
    private static final int MAX_GENERATION = 1 << 20;

    /** The default unless a leader is suspected sooner than after twice that. */
    private static final long SLOW_SYNC_NANOS = 500_000_000;

    private static final long NANOS_PER_MICRO = 1000;
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    private final SettingsFile file;

    /** Who has a name, number or address, by that value. */
    private final Map<Object, String> owners = new HashMap<>();

    private List<MemberAddress> voters;
    private List<MemberAddress> members;

    private ClusterConfigReader(SettingsFile file) {
        this.file = file;
    }

    /** Returns empty if the file turns the cluster off. */
    static Optional<ClusterConfig> read(SettingsFile file) {
        if (!file.top().flag("enabled", false)) {
            return Optional.empty();
        }
        return Optional.of(new ClusterConfigReader(file).read());
    }

    private ClusterConfig read() {
        voters = members("voters");
        if (voters.size() != 3 && voters.size() != 5) {
            throw file.top()
                    .error(
                            voters.isEmpty() ? Code.MISSING_KEY : Code.IMPOSSIBLE,
                            "voters",
                            voters.size() + " voters, 3 or 5 needed");
        }
        members = members("members");
        Section member = file.section("member");
        Section clock = file.section("clock");
        Section lease = file.section("lease");
        RaftConfig raft = raft(file.section("raft"));
        int driftPpm = clock.ppm("drift", "500ppm", "500ppm", "100000ppm");
        MemberAddress self = self(member);
        Path dataFolder = member.path("data");
        return new ClusterConfig(
                name(file.section("cluster"), "name"),
                self,
                member.count("generation", 0, 0, MAX_GENERATION),
                dataFolder,
                member.has("marks") ? member.path("marks") : dataFolder,
                voters,
                members,
                linkAddresses(self),
                raft,
                session(file.section("session"), raft),
                lease.duration("ttl", "5s", "1s", "1h"),
                driftPpm,
                disk(file.section("disk"), raft),
                BudgetConfigReader.read(file, driftPpm, raft.leaderChangeTime()));
    }

    private static String name(Section section, String key) {
        return requireName(section, key, section.text(key));
    }

    /** Returns {@code name} if it has the form of a name. */
    static String requireName(Section section, String key, String name) {
        if (!name.matches(NAME_PATTERN)) {
            throw section.error(
                    Code.OUT_OF_RANGE,
                    key,
                    "'"
                            + name
                            + "', 1 to 63 letters, digits, dots, dashes and underscores allowed");
        }
        return name;
    }

    private List<MemberAddress> members(String array) {
        List<MemberAddress> read = new ArrayList<>();
        for (Section section : file.sections(array)) {
            MemberAddress member =
                    new MemberAddress(
                            name(section, "name"),
                            section.count("number", null, 1, MAX_MEMBER_NUMBER),
                            section.address("address", null));
            if (member.address() == null) {
                throw section.error(Code.MISSING_KEY, "address", "it is needed");
            }
            String owner = (array.equals("voters") ? "voter " : "member ") + member.name();
            claim(section, "name", member.name(), owner);
            claim(section, "number", member.number(), owner);
            claim(section, "address", member.address(), owner);
            read.add(member);
        }
        return List.copyOf(read);
    }

    private void claim(Section section, String key, Object value, String owner) {
        String other = owners.putIfAbsent(value, owner);
        if (other != null) {
            throw section.error(Code.OVERLAP, key, text(value) + " is " + other + "'s");
        }
    }

    private static String text(Object value) {
        return value instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress() + ":" + address.getPort()
                : "'" + value + "'";
    }

    private Stream<MemberAddress> votersAndMembers() {
        return Stream.concat(voters.stream(), members.stream());
    }

    private Optional<MemberAddress> find(String name) {
        return votersAndMembers().filter(each -> each.name().equals(name)).findFirst();
    }

    private String role(MemberAddress member) {
        return voters.contains(member) ? "voter " : "member ";
    }

    private Map<Integer, InetSocketAddress> linkAddresses(MemberAddress self) {
        Map<Integer, InetSocketAddress> links = new HashMap<>();
        for (Section section : file.sections("links")) {
            String name = name(section, "to");
            InetSocketAddress via = section.address("via", null);
            if (via == null) {
                throw section.error(Code.MISSING_KEY, "via", "it is needed");
            }
            MemberAddress to =
                    find(name)
                            .orElseThrow(
                                    () ->
                                            section.error(
                                                    Code.OUT_OF_RANGE,
                                                    "to",
                                                    "'"
                                                            + name
                                                            + "' is none of the voters and"
                                                            + " members"));
            if (to.number() == self.number()) {
                throw section.error(
                        Code.IMPOSSIBLE,
                        "to",
                        "'" + name + "' is this member itself, member.name says");
            }
            if (links.put(to.number(), via) != null) {
                throw section.error(Code.OVERLAP, "to", "'" + name + "' has a link already");
            }
        }
        return Map.copyOf(links);
    }

    /**
     * This member: its number and address are in its entry of the voters or members, or in its own
     * section if it has no entry.
     */
    private MemberAddress self(Section section) {
        String name = name(section, "name");
        Optional<MemberAddress> entry = find(name);
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
        MemberAddress self =
                new MemberAddress(
                        name, section.count("number", number, 1, MAX_MEMBER_NUMBER), address);
        if (entry.isPresent()) {
            requireSame(section, self, entry.get());
        } else {
            requireUnlikeOthers(section, self);
        }
        return self;
    }

    private void requireSame(Section section, MemberAddress self, MemberAddress entry) {
        if (!entry.equals(self)) {
            throw section.error(
                    Code.OVERLAP,
                    self.number() != entry.number() ? "number" : "listen",
                    role(entry) + self.name() + " has another one in its own entry");
        }
    }

    private void requireUnlikeOthers(Section section, MemberAddress self) {
        for (MemberAddress other : votersAndMembers().toList()) {
            boolean isSameNumber = other.number() == self.number();
            if (isSameNumber || other.address().equals(self.address())) {
                Object shared = isSameNumber ? self.number() : self.address();
                throw section.error(
                        Code.OVERLAP,
                        isSameNumber ? "number" : "listen",
                        text(shared) + " is " + role(other) + other.name() + "'s");
            }
        }
    }

    private static RaftConfig raft(Section section) {
        RaftConfig raft =
                new RaftConfig(
                        section.duration("heartbeat", "250ms", "10ms", "10s"),
                        section.count("missed", 4, 2, 100),
                        section.duration("election", "1s", "50ms", "1min"),
                        section.count("queue", 1024, 16, 1 << 20),
                        section.count("snapshot_every", 10_000, 100, 10_000_000));
        if (raft.electionTimeout().compareTo(raft.heartbeatPeriod()) <= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "election",
                    "no longer than raft.heartbeat: no election would end");
        }
        return raft;
    }

    private static SessionConfig session(Section section, RaftConfig raft) {
        SessionConfig session =
                new SessionConfig(
                        section.duration("ttl", "10s", "100ms", "1h"),
                        section.duration("retry", "1s", "10ms", "1min"),
                        section.count("queue", 256, 1, 1 << 16));
        Duration leaderChangeTime = raft.leaderChangeTime();
        if (session.ttl().compareTo(leaderChangeTime) <= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "ttl",
                    "a session must outlast a change of leader, which takes "
                            + Units.DURATION.text(leaderChangeTime.toNanos())
                            + " by raft.heartbeat, raft.missed and raft.election");
        }
        if (session.retryDelay().compareTo(session.ttl()) >= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "retry",
                    "no shorter than session.ttl: a session would end before its second try");
        }
        return session;
    }

    private static DiskConfig disk(Section section, RaftConfig raft) {
        long leaderTimeoutNanos = raft.leaderTimeout().toNanos();
        long defaultNanos = Math.min(SLOW_SYNC_NANOS, leaderTimeoutNanos / 2);
        String defaultThreshold =
                Units.DURATION.text(defaultNanos / NANOS_PER_MICRO * NANOS_PER_MICRO);
        DiskConfig disk =
                new DiskConfig(
                        section.bytes("segment", "4MB", "64KB", "1GB"),
                        section.duration("sync_warning", defaultThreshold, "1ms", "1min"));
        if (disk.slowSyncThreshold().compareTo(raft.leaderTimeout()) >= 0) {
            throw section.error(
                    Code.IMPOSSIBLE,
                    "sync_warning",
                    "a leader whose disk is that slow is doubted sooner, after "
                            + Units.DURATION.text(leaderTimeoutNanos)
                            + " by raft.heartbeat and raft.missed");
        }
        return disk;
    }
}
