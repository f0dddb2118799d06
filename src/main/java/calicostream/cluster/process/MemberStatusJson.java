// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.raft.Voter;
import calicostream.cluster.tcp.TcpTransport;
import calicostream.durable.LogStatus;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.List;
import java.util.Locale;

/**
 * Encodes a member's status under the stable names of {@code docs/operate/cluster.md}. Stateless.
 */
final class MemberStatusJson {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private MemberStatusJson() {}

    static String encode(ClusterConfig config, MemberStatus status) {
        MemberStatus.Leadership leadership = status.leadership();
        MemberStatus.Replica replica = status.replica();
        MemberStatus.Session session = status.session();
        return Json.object()
                .add("cluster", config.cluster())
                .add("member", config.self().name())
                .add("number", config.self().number())
                .add("generation", config.generation())
                .add("state", status.state().jsonName())
                .add("why", status.condition().reason())
                .add("leader", leadership.leader())
                .add("leads", leadership.isSelf())
                .add("term", leadership.term())
                .add("era", leadership.epoch())
                .add("applied", replica.appliedIndex())
                .add("voters", names(replica.membership().voters()))
                .add("learners", names(replica.membership().learners()))
                .add("no_quorum_ms", leadership.quorumMissingMillis())
                .add("read_age_ms", replica.ageMillis())
                .add("proposed", replica.pendingProposals())
                .add("waiting", session.pendingCommands())
                .add("session", session.id())
                .add("session_alive", session.isAlive())
                .add("session_age_ms", session.ageMillis())
                .add("disk", disk(status.resources()))
                .add("links", links(status.resources().links()))
                .add("wish", status.commandProgress())
                .add("layers", services(status))
                .toString();
    }

    private static JsonObject disk(MemberStatus.Resources resources) {
        LogStatus disk = resources.disk();
        return Json.object()
                .add("state", disk.state().name().toLowerCase(Locale.ROOT))
                .add("since_ms", resources.diskStateMillis())
                .add("trouble", disk.fault() == null ? "" : disk.fault().getMessage())
                .add("incarnation", disk.incarnation())
                .add("barred", disk.votingSuspended())
                .add("syncs", disk.syncs())
                .add("slow_syncs", disk.slowSyncs())
                .add("longest_sync_ms", disk.longestSyncNanos() / NANOS_PER_MILLI)
                .add("last_index", disk.lastIndex())
                .add("bytes", disk.bytes());
    }

    private static JsonObject links(TcpTransport.Metrics links) {
        return Json.object()
                .add("sent", links.sent())
                .add("dropped", links.dropped())
                .add("received", links.received())
                .add("refused", links.rejected())
                .add("open", links.openConnections());
    }

    private static JsonObject services(MemberStatus status) {
        JsonObject services = Json.object();
        status.serviceMetrics().forEach((name, metrics) -> services.add(name, parse(metrics)));
        return services;
    }

    /** A service whose metrics are no JSON shows them as text. */
    private static JsonValue parse(String metrics) {
        try {
            return Json.parse(metrics);
        } catch (ParseException e) {
            return Json.value(metrics);
        }
    }

    private static JsonArray names(List<Voter> voters) {
        JsonArray names = new JsonArray();
        voters.forEach(voter -> names.add(voter.toString()));
        return names;
    }
}
