// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

import calicostream.config.SettingsException;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the start-up settings, {@code path=value} a line on the simulator's wire and nested JSON in
 * a front end's configuration, into the one {@link RouterSettings} type; keys it does not know are
 * skipped.
 */
public final class SettingsParser {
    private static final int MOST_ITEMS = 65536;
    private final Map<String, String> values;
    private final List<String> columns;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
        columns = list("stats.columns");
    }

    public static SettingsParser ofLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int at = line.indexOf('=');
            if (at > 0) {
                values.put(line.substring(0, at).trim(), line.substring(at + 1).trim());
            } else if (!line.isBlank()) {
                throw new SettingsException("bad setting: no '=' in '" + line.trim() + "'");
            }
        }
        return new SettingsParser(values);
    }

    public static SettingsParser ofJson(JsonObject settings) {
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        return new SettingsParser(values);
    }

    /**
     * Nested JSON under the names of the flat form: {@code a.b}, {@code a.count}, {@code a.0.b},
     * lists by commas.
     */
    private static void flatten(String path, JsonValue value, Map<String, String> into) {
        if (value.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            value.asObject()
                    .forEach(member -> flatten(prefix + member.getName(), member.getValue(), into));
        } else if (value.isArray()) {
            JsonArray items = value.asArray();
            boolean nested =
                    !items.isEmpty() && (items.get(0).isObject() || items.get(0).isArray());
            if (nested) {
                into.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    flatten(path + "." + i, items.get(i), into);
                }
            } else {
                List<String> plain = new ArrayList<>();
                items.forEach(item -> plain.add(plain(item)));
                into.put(path, String.join(",", plain));
            }
        } else {
            into.put(path, plain(value));
        }
    }

    private static String plain(JsonValue value) {
        String text = value.isString() ? value.asString() : value.toString();
        return value.isNull() ? "" : text.replace(' ', '_').replace(',', '_');
    }

    public List<String> columns() {
        return columns;
    }

    public boolean tellsCost() {
        return flag("family_info.tells_cost", false);
    }

    public RouterSettings settings() {
        AttemptLimits limits =
                new AttemptLimits(
                        flag("ceilings.may_probe", false),
                        flag("ceilings.cancel", false),
                        (int) whole("ceilings.max_attempts", 1));
        ProtectionRules rules =
                new ProtectionRules(
                        number("rules.cold_share", 1),
                        number("rules.overload_factor", 1),
                        whole("rules.fall_us", 0),
                        whole("rules.warm_up_us", 0),
                        whole("rules.turn_gap_us", 0),
                        number("rules.budget_free", 0),
                        number("rules.extra_ratio", 0),
                        whole("rules.counted_over_us", 0));
        EngineCapabilities traits =
                new EngineCapabilities(
                        flag("family_info.takes_grants", false),
                        flag("family_info.priorities", false),
                        number("family_info.most_grant", 1),
                        whole("family_info.note_period_us", 0));
        return new RouterSettings(
                (int) Math.max(1, whole("balancers", 1)),
                (int) whole("self_index", 0),
                (int) whole("az", 0),
                new RoutingCosts(number("fees.cross_zone", 0), number("fees.handshake", 0)),
                kinds(),
                classes(),
                tenants(),
                number("over_share_worth", 1),
                limits,
                rules,
                traits,
                reporting(),
                word("membership_mode", "automatic").equals("subscribe"),
                whole("tick_us", 1000));
    }

    private LoadReporting reporting() {
        switch (word("stats.how", "off")) {
            case "inline":
                return LoadReporting.WITH_ANSWERS;
            case "on_probe":
                return LoadReporting.ON_PROBE;
            case "off":
                return LoadReporting.NONE;
            default:
                throw bad("stats.how");
        }
    }

    private List<EngineKind> kinds() {
        List<String> cores = list("family_info.kind_cores");
        List<String> memory = list("family_info.kind_memory_mb");
        List<EngineKind> out = new ArrayList<>();
        for (int i = 0; i < cores.size(); i++) {
            double megabytes =
                    i < memory.size() ? parse("family_info.kind_memory_mb", memory.get(i)) : 0;
            out.add(new EngineKind(parse("family_info.kind_cores", cores.get(i)), megabytes));
        }
        return out;
    }

    private List<QueryClass> classes() {
        List<String> threads = list("family_info.width_by_class");
        List<String> loads = list("family_info.holds_tables");
        List<String> waits = list("family_info.waits_for_loads");
        List<QueryClass> out = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            String at = "lanes." + i + ".";
            int wide =
                    i < threads.size()
                            ? (int) parse("family_info.width_by_class", threads.get(i))
                            : 1;
            out.add(
                    new QueryClass(
                            whole(at + "aim_us", 0),
                            number(at + "aim_stretch", 0),
                            whole(at + "deadline_us", 0),
                            number(at + "points", 1),
                            number(at + "late_worth", 0),
                            effect(at + "effect"),
                            scope(at + "key_scope"),
                            whole(at + "window_us", 0),
                            flag(at + "one_at_a_time", false),
                            flag(at + "stream", false),
                            Math.max(1, wide),
                            i < loads.size() && loads.get(i).equals("true"),
                            i < waits.size() && waits.get(i).equals("true"),
                            numbers(at + "allowed_in"),
                            numbers(at + "runs_on")));
        }
        return out;
    }

    private List<TenantLimit> tenants() {
        List<TenantLimit> out = new ArrayList<>();
        for (int i = 0; i < count("realms.count"); i++) {
            out.add(new TenantLimit(number("realms." + i + ".quota_per_s", 0)));
        }
        return out;
    }

    private Idempotency effect(String key) {
        switch (word(key, "once")) {
            case "repeatable":
                return Idempotency.IDEMPOTENT;
            case "by_key":
                return Idempotency.IDEMPOTENT_WITH_KEY;
            case "once":
                return Idempotency.NON_IDEMPOTENT;
            default:
                throw bad(key);
        }
    }

    private IdempotencyScope scope(String key) {
        switch (word(key, "cell")) {
            case "all":
                return IdempotencyScope.ALL;
            case "zone":
                return IdempotencyScope.ZONE;
            case "cell":
                return IdempotencyScope.CELL;
            default:
                throw bad(key);
        }
    }

    /** Names of the classes, halls and machine kinds, in the order of their indexes. */
    public List<String> classNames() {
        List<String> out = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            out.add(word("lanes." + i + ".name", Integer.toString(i)));
        }
        return out;
    }

    public List<String> zoneNames() {
        return list("zones");
    }

    public List<String> kindNames() {
        return list("flavors");
    }

    /** What the sockets are held to; no part of the decisions. */
    public ConnectionSettings connectionSettings() {
        return new ConnectionSettings(
                whole("ceilings.dial_timeout_us", 250_000),
                whole("ceilings.conn_idle_us", 30_000_000),
                (int) whole("ceilings.streams_per_conn", 32),
                whole("ceilings.max_retry_after_us", 2_000_000),
                whole("family_info.note_period_us", 0),
                number("fees.handshake", 0) > 0);
    }

    /**
     * Limits of the connections to engines and of what clients heed, and whether opening one is
     * paid for.
     */
    public record ConnectionSettings(
            long dialTimeoutUs,
            long idleUs,
            int maxStreamsPerConnection,
            long maxRetryAfterUs,
            long progressPeriodUs,
            boolean connectionsAreCostly) {}

    private String word(String key, String without) {
        return values.getOrDefault(key, without);
    }

    private boolean flag(String key, boolean without) {
        String value = values.get(key);
        if (value == null) {
            return without;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw bad(key);
        }
        return value.equals("true");
    }

    private int count(String key) {
        long count = whole(key, 0);
        if (count > MOST_ITEMS) {
            throw bad(key);
        }
        return (int) count;
    }

    private long whole(String key, long without) {
        return (long) number(key, without);
    }

    private double number(String key, double without) {
        String value = values.get(key);
        return value == null || value.isEmpty() ? without : parse(key, value);
    }

    private double parse(String key, String value) {
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw bad(key);
        }
        if (!(number >= 0) || number > 1e15) {
            throw bad(key);
        }
        return number;
    }

    private List<String> list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private List<Integer> numbers(String key) {
        List<Integer> out = new ArrayList<>();
        for (String item : list(key)) {
            out.add((int) parse(key, item));
        }
        return out;
    }

    private SettingsException bad(String key) {
        return new SettingsException("bad setting: " + key + "=" + values.get(key));
    }
}
