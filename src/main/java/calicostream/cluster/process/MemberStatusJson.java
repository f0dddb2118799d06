// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.config.ClusterConfig;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.util.List;
import java.util.Locale;

/** The signs under the names that {@code docs/operate/cluster.md} has. Stateless. */
final class MemberStatusJson {
    private MemberStatusJson() {}

    static String of(ClusterConfig config, MemberStatus signs) {
        JsonObject layers = Json.object();
        signs.serviceMetrics().forEach((name, figures) -> layers.add(name, parsed(figures)));
        return Json.object()
                .add("cluster", config.cluster())
                .add("member", config.self().name())
                .add("number", config.self().number())
                .add("generation", config.generation())
                .add("state", word(signs.state()))
                .add("why", signs.reason())
                .add("leader", signs.leader())
                .add("leads", signs.isLeader())
                .add("term", signs.term())
                .add("era", signs.era())
                .add("applied", signs.applied())
                .add("voters", names(signs.voters()))
                .add("learners", names(signs.learners()))
                .add("no_quorum_ms", signs.quorumMissingMillis())
                .add("read_age_ms", signs.stateAgeMillis())
                .add("proposed", signs.pendingProposals())
                .add("waiting", signs.pendingCommands())
                .add("session", signs.session())
                .add("session_alive", signs.sessionAlive())
                .add("session_age_ms", signs.sessionAgeMillis())
                .add("disk", disk(signs))
                .add(
                        "links",
                        Json.object()
                                .add("sent", signs.links().sent())
                                .add("dropped", signs.links().dropped())
                                .add("received", signs.links().received())
                                .add("refused", signs.links().rejected())
                                .add("open", signs.links().openConnections()))
                .add("wish", signs.commandProgress())
                .add("layers", layers)
                .toString();
    }

    private static JsonObject disk(MemberStatus signs) {
        var disk = signs.disk();
        return Json.object()
                .add("state", word(disk.state()))
                .add("since_ms", signs.diskSinceMillis())
                .add("trouble", disk.fault() == null ? "" : disk.fault().getMessage())
                .add("incarnation", disk.incarnation())
                .add("barred", disk.votingSuspended())
                .add("syncs", disk.syncs())
                .add("slow_syncs", disk.slowSyncs())
                .add("longest_sync_ms", disk.longestSyncNanos() / 1_000_000)
                .add("last_index", disk.lastIndex())
                .add("bytes", disk.bytes());
    }

    private static JsonValue parsed(String figures) {
        try {
            return Json.parse(figures);
        } catch (ParseException e) {
            return Json.value(figures);
        }
    }

    private static JsonArray names(List<?> voters) {
        JsonArray out = new JsonArray();
        voters.forEach(each -> out.add(each.toString()));
        return out;
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
