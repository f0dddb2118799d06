// SPDX-License-Identifier: Apache-2.0
package calicostream.deployments;

import calicostream.routing.Idempotency;
import calicostream.routing.LoadReporting;
import calicostream.routing.RouterSettings;
import calicostream.routing.SettingsParser;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * A draw in the words of the platform's settings: as lines for every other draw, as nested JSON for
 * the rest.
 */
final class SettingsWriter {
    private final TreeMap<String, Object> values = new TreeMap<>();

    private SettingsWriter(GeneratedDeployment draw, int index, int zone) {
        values.put("balancers", draw.size().frontEnds());
        values.put("self_index", index);
        values.put("az", zone);
        values.put("tick_us", draw.figures().tickUs());
        values.put("membership_mode", draw.telling().onRequest() ? "subscribe" : "automatic");
        values.put("over_share_worth", draw.figures().overShareWorth());
        values.put("unknown_to_all", "passed over");
        allowed(draw);
        engines(draw);
        figures(draw);
        for (int i = 0; i < draw.lanes().size(); i++) {
            lane("lanes." + i + ".", draw.lanes().get(i));
        }
        values.put("lanes.count", draw.lanes().size());
        List<Double> quotas = draw.figures().quotas();
        for (int i = 0; i < quotas.size(); i++) {
            values.put("realms." + i + ".quota_per_s", quotas.get(i));
        }
        values.put("realms.count", quotas.size());
    }

    /** What the front end of this number reads at its start. */
    static RouterSettings settings(GeneratedDeployment draw, int index, int zone) {
        return new SettingsWriter(draw, index, zone).parser(draw.number() % 2 == 0).settings();
    }

    private SettingsParser parser(boolean json) {
        if (json) {
            JsonObject out = new JsonObject();
            values.forEach((path, value) -> nest(out, path.split("\\."), 0, json(value)));
            return SettingsParser.ofJson(out);
        }
        StringBuilder lines = new StringBuilder();
        values.forEach(
                (path, value) -> lines.append(path).append('=').append(plain(value)).append('\n'));
        return SettingsParser.ofLines(lines.toString());
    }

    private static String plain(Object value) {
        return value instanceof List<?> list
                ? String.join(",", list.stream().map(SettingsWriter::plain).toList())
                : value.toString();
    }

    private static JsonValue json(Object value) {
        if (value instanceof List<?> list) {
            JsonArray out = new JsonArray();
            list.forEach(each -> out.add(json(each)));
            return out;
        }
        return value instanceof Boolean || value instanceof Number
                ? Json.parse(value.toString())
                : Json.value(value.toString());
    }

    /**
     * Sets a value under its path; lists of objects carry no count, as in a front end's
     * configuration.
     */
    private static void nest(JsonObject into, String[] path, int at, JsonValue value) {
        if (path[path.length - 1].equals("count")) {
            return;
        }
        if (at == path.length - 1) {
            into.set(path[at], value);
            return;
        }
        boolean items = path[at + 1].matches("[0-9]+");
        JsonValue inner = into.get(path[at]);
        if (inner == null) {
            inner = items ? new JsonArray() : new JsonObject();
            into.set(path[at], inner);
        }
        JsonValue own = into.get(path[at]);
        if (!items) {
            nest(own.asObject(), path, at + 1, value);
            return;
        }
        int number = Integer.parseInt(path[at + 1]);
        while (own.asArray().size() <= number) {
            own.asArray().add(new JsonObject());
        }
        nest(own.asArray().get(number).asObject(), path, at + 2, value);
    }

    private void allowed(GeneratedDeployment draw) {
        GeneratedDeployment.Allowed allowed = draw.allowed();
        GeneratedDeployment.Telling telling = draw.telling();
        values.put("ceilings.may_probe", allowed.probes());
        values.put("ceilings.cancel", allowed.cancel());
        values.put("ceilings.max_attempts", allowed.maxAttempts());
        values.put("ceilings.second_copies", false);
        values.put("client_habits.marks_retry", allowed.clientRetries());
        LoadReporting how = telling.how();
        values.put(
                "stats.how",
                how == LoadReporting.WITH_ANSWERS
                        ? "inline"
                        : how == LoadReporting.ON_PROBE ? "on_probe" : "off");
        values.put("stats.columns", telling.fields());
    }

    private void engines(GeneratedDeployment draw) {
        GeneratedDeployment.Allowed allowed = draw.allowed();
        values.put("family_info.takes_grants", allowed.grants());
        values.put("family_info.priorities", allowed.priorities());
        values.put("family_info.most_grant", allowed.mostGrant());
        values.put("family_info.note_period_us", draw.telling().noteUs());
        values.put("family_info.tells_cost", draw.telling().tellsCost());
        GeneratedDeployment.Short when = draw.machines().whenShort();
        values.put(
                "family_info.memory_short",
                when == GeneratedDeployment.Short.WAIT
                        ? "line_up"
                        : when == GeneratedDeployment.Short.CUT ? "cut" : "overcommit");
        values.put(
                "family_info.kind_cores",
                draw.kinds().stream().map(GeneratedDeployment.Kind::cores).toList());
        values.put(
                "family_info.kind_memory_mb",
                draw.kinds().stream().map(GeneratedDeployment.Kind::memoryMb).toList());
        values.put("family_info.width_by_class", byLane(draw, GeneratedDeployment.Lane::threads));
        values.put("family_info.holds_tables", byLane(draw, GeneratedDeployment.Lane::load));
        values.put("family_info.waits_for_loads", byLane(draw, GeneratedDeployment.Lane::waits));
    }

    private static List<Object> byLane(
            GeneratedDeployment draw, Function<GeneratedDeployment.Lane, Object> of) {
        return draw.lanes().stream().map(of).toList();
    }

    private void figures(GeneratedDeployment draw) {
        GeneratedDeployment.Figures f = draw.figures();
        values.put("rules.cold_share", f.coldShare());
        values.put("rules.overload_factor", f.multiple());
        values.put("rules.fall_us", f.windowUs());
        values.put("rules.warm_up_us", f.warmUpUs());
        values.put("rules.turn_gap_us", f.restUs());
        values.put("rules.drain_grace_us", f.drainUs());
        values.put("rules.grace_to_answer_us", f.graceUs());
        if (f.rationUs() > 0) {
            values.put("rules.budget_free", f.free());
            values.put("rules.extra_ratio", f.ratio());
            values.put("rules.counted_over_us", f.rationUs());
        }
        values.put("fees.cross_zone", f.crossZone());
        values.put("fees.handshake", f.handshake());
    }

    private void lane(String at, GeneratedDeployment.Lane lane) {
        values.put(at + "name", lane.name());
        values.put(at + "aim_us", lane.aimUs());
        values.put(at + "aim_stretch", lane.stretch());
        values.put(at + "deadline_us", lane.deadlineUs());
        values.put(at + "points", lane.worth());
        values.put(at + "late_worth", lane.lateWorth());
        Idempotency effect = lane.effect();
        values.put(
                at + "effect",
                effect == Idempotency.IDEMPOTENT
                        ? "repeatable"
                        : effect == Idempotency.NON_IDEMPOTENT ? "once" : "by_key");
        values.put(at + "key_scope", lane.scope().toString().toLowerCase(Locale.ROOT));
        values.put(at + "window_us", lane.windowUs());
        values.put(at + "stream", false);
        if (lane.inOrder()) {
            values.put(at + "one_at_a_time", true);
        }
        if (!lane.zones().isEmpty()) {
            values.put(at + "allowed_in", lane.zones());
        }
        if (!lane.kinds().isEmpty()) {
            values.put(at + "runs_on", lane.kinds());
        }
    }
}
