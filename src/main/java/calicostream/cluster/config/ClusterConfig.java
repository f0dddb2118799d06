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

/**
 * The cluster as one of its members is told it; {@code docs/operate/cluster-settings.md} has every key. Immutable, and
 * possible as a whole: what contradicts itself never becomes one.
 *
 * @param cluster name of the cluster, the same at all members
 * @param self this member, also where it is none of the first voters
 * @param data the folder that is this member's alone
 * @param voters those that the cluster begins with
 * @param driftPpm how far any clock may run from real time
 */
public record ClusterConfig(String cluster, Member self, Path data, List<Member> voters, Raft raft, Session session,
        Duration leaseTtl, int driftPpm, Disk disk) {
    private static final long SYNC_WARNING = 500_000_000; // ns, unless a leader is doubted sooner than after twice that
    private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

    /** {@code number} is what the protocol knows it by: never given to another member of this cluster. */
    public record Member(String name, int number, InetSocketAddress address) { }

    /** @param missed heartbeats until a leader is doubted; @param queue proposals that wait to be decided */
    public record Raft(Duration heartbeat, int missed, Duration election, int queue, int snapshotEvery) { }

    /** @param retry until another voter is tried; @param queue commands of this member that wait */
    public record Session(Duration ttl, Duration retry, int queue) { }

    /** @param syncWarning a sync that takes longer is told to operators */
    public record Disk(long segmentBytes, Duration syncWarning) { }

    /** Whether a voter of the beginning. */
    public boolean isVoter() {
        return voters.contains(self);
    }

    /** The whole file, where it has nothing but these sections; empty where it leaves the cluster off. */
    public static Optional<ClusterConfig> read(Path path) {
        SettingsFile file = SettingsFile.read(path);
        Optional<ClusterConfig> out = of(file);
        if (out.isPresent()) {
            file.done();
        }
        return out;
    }

    /** Empty where the file leaves the cluster off; the caller reads what else it knows and calls {@code done}. */
    public static Optional<ClusterConfig> of(SettingsFile file) {
        if (!file.top().flag("enabled", false)) {
            return Optional.empty();
        }
        List<Member> voters = voters(file);
        Section member = file.section("member");
        Section clock = file.section("clock");
        Section lease = file.section("lease");
        Raft raft = raft(file.section("raft"));
        return Optional.of(new ClusterConfig(name(file.section("cluster"), "name"), self(member, voters), member.path("data"),
                voters, raft, session(file.section("session"), raft), lease.span("ttl", "5s", "1s", "1h"),
                clock.ppm("drift", "500ppm", "500ppm", "100000ppm"), disk(file.section("disk"), raft)));
    }

    private static String name(Section section, String key) {
        String name = section.text(key);
        if (!name.matches(NAME)) {
            throw section.wrong(Code.OUT_OF_RANGE, key, "'" + name
                    + "', 1 to 63 letters, digits, dots, dashes and underscores allowed");
        }
        return name;
    }

    private static List<Member> voters(SettingsFile file) {
        List<Member> out = new ArrayList<>();
        Map<Object, String> known = new HashMap<>();
        for (Section each : file.sections("voters")) {
            Member voter = new Member(name(each, "name"), each.count("number", null, 1, 1 << 20), each.address("address", null));
            if (voter.address == null) {
                throw each.wrong(Code.MISSING_KEY, "address", "it is needed");
            }
            unlike(each, "name", voter.name, voter.name, known);
            unlike(each, "number", voter.number, voter.name, known);
            unlike(each, "address", voter.address, voter.name, known);
            out.add(voter);
        }
        if (out.size() != 3 && out.size() != 5) {
            throw file.top().wrong(out.isEmpty() ? Code.MISSING_KEY : Code.IMPOSSIBLE, "voters",
                    out.size() + " voters, 3 or 5 needed");
        }
        return List.copyOf(out);
    }

    private static void unlike(Section section, String key, Object value, String name, Map<Object, String> known) {
        String other = known.putIfAbsent(value, name);
        if (other != null) {
            throw section.wrong(Code.OVERLAP, key, text(value) + " is voter " + other + "'s");
        }
    }

    private static String text(Object value) {
        return value instanceof InetSocketAddress at ? at.getAddress().getHostAddress() + ":" + at.getPort() : "'" + value + "'";
    }

    /** A voter's number and address are in its entry; another member has its own, which are no voter's. */
    private static Member self(Section section, List<Member> voters) {
        String name = name(section, "name");
        Optional<Member> voter = voters.stream().filter(v -> v.name.equals(name)).findFirst();
        if (voter.isEmpty() && !section.has("number") && !section.has("listen")) {
            throw section.wrong(Code.MISSING_KEY, "name", "'" + name + "' is none of the voters "
                    + String.join(", ", voters.stream().map(Member::name).toList())
                    + "; a member that is none has member.number and member.listen");
        }
        Integer number = voter.map(Member::number).orElse(null);
        InetSocketAddress address = section.address("listen", voter.map(Member::address).orElse(null));
        if (address == null) {
            throw section.wrong(Code.MISSING_KEY, "listen", "it is needed for a member that is no voter");
        }
        Member out = new Member(name, section.count("number", number, 1, 1 << 20), address);
        if (voter.isPresent() && !voter.get().equals(out)) {
            String key = out.number != number ? "number" : "listen";
            throw section.wrong(Code.OVERLAP, key, "voter " + name + " has another one in its own entry");
        }
        for (Member each : voters) {
            if (voter.isEmpty() && (each.number == out.number || each.address.equals(out.address))) {
                Object same = each.number == out.number ? out.number : out.address;
                throw section.wrong(Code.OVERLAP, each.number == out.number ? "number" : "listen", text(same) + " is voter "
                        + each.name + "'s");
            }
        }
        return out;
    }

    private static Raft raft(Section section) {
        Raft out = new Raft(section.span("heartbeat", "250ms", "10ms", "10s"), section.count("missed", 4, 2, 100),
                section.span("election", "1s", "50ms", "1min"), section.count("queue", 1024, 16, 1 << 20),
                section.count("snapshot_every", 10_000, 100, 10_000_000));
        if (out.election.compareTo(out.heartbeat) <= 0) {
            throw section.wrong(Code.IMPOSSIBLE, "election", "no longer than raft.heartbeat: no election would end");
        }
        return out;
    }

    private static Duration doubted(Raft raft) {
        return raft.heartbeat.multipliedBy(raft.missed);
    }

    private static Session session(Section section, Raft raft) {
        Session out = new Session(section.span("ttl", "10s", "100ms", "1h"), section.span("retry", "1s", "10ms", "1min"),
                section.count("queue", 256, 1, 1 << 16));
        Duration change = doubted(raft).plus(raft.election);
        if (out.ttl.compareTo(change) <= 0) {
            throw section.wrong(Code.IMPOSSIBLE, "ttl", "a session must outlast a change of leader, which takes "
                    + Units.SPAN.text(change.toNanos()) + " by raft.heartbeat, raft.missed and raft.election");
        }
        if (out.retry.compareTo(out.ttl) >= 0) {
            throw section.wrong(Code.IMPOSSIBLE, "retry",
                    "no shorter than session.ttl: a session would end before its second try");
        }
        return out;
    }

    private static Disk disk(Section section, Raft raft) {
        String without = Units.SPAN.text(Math.min(SYNC_WARNING, doubted(raft).toNanos() / 2) / 1000 * 1000);
        Disk out = new Disk(section.bytes("segment", "4MB", "64KB", "1GB"),
                section.span("sync_warning", without, "1ms", "1min"));
        if (out.syncWarning.compareTo(doubted(raft)) >= 0) {
            throw section.wrong(Code.IMPOSSIBLE, "sync_warning", "a leader whose disk is that slow is doubted sooner, after "
                    + Units.SPAN.text(doubted(raft).toNanos()) + " by raft.heartbeat and raft.missed");
        }
        return out;
    }
}
