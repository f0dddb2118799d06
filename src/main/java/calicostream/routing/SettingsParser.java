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
 * Parses the startup settings of a deployment, from {@code path=value} lines as in the simulator's
 * protocol or from nested JSON as in the configuration of a front end. Unknown keys are ignored.
 */
public final class SettingsParser {
    private static final int MAX_ITEMS = 65536;

    private static final double MAX_NUMBER = 1e15;

    private final Map<String, String> values;
    private final List<String> loadReportColumns;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
        loadReportColumns = list("stats.columns");
    }

    /**
     * Parses settings with one {@code path=value} pair per line.
     *
     * @throws SettingsException if a line has no key
     */
    public static SettingsParser ofLines(String lines) {
        Map<String, String> values = new HashMap<>();
        for (String line : lines.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).trim(), line.substring(separator + 1).trim());
            } else if (!line.isBlank()) {
                throw new SettingsException("bad setting: no '=' in '" + line.trim() + "'");
            }
        }
        return new SettingsParser(values);
    }

    /** Parses settings in nested JSON. */
    public static SettingsParser ofJson(JsonObject settings) {
        Map<String, String> values = new HashMap<>();
        flatten("", settings, values);
        return new SettingsParser(values);
    }

    /**
     * Flattens nested JSON to the keys of the line format: {@code a.b} for members, {@code a.count}
     * and {@code a.0.b} for lists of objects, and comma-separated values for lists of scalars.
     */
    private static void flatten(String path, JsonValue value, Map<String, String> target) {
        if (value.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            value.asObject()
                    .forEach(
                            member ->
                                    flatten(prefix + member.getName(), member.getValue(), target));
        } else if (value.isArray()) {
            JsonArray items = value.asArray();
            boolean nested =
                    !items.isEmpty() && (items.get(0).isObject() || items.get(0).isArray());
            if (nested) {
                target.put(path + ".count", Integer.toString(items.size()));
                for (int i = 0; i < items.size(); i++) {
                    flatten(path + "." + i, items.get(i), target);
                }
            } else {
                List<String> scalars = new ArrayList<>();
                items.forEach(item -> scalars.add(scalarText(item)));
                target.put(path, String.join(",", scalars));
            }
        } else {
            target.put(path, scalarText(value));
        }
    }

    private static String scalarText(JsonValue value) {
        String text = value.isString() ? value.asString() : value.toString();
        return value.isNull() ? "" : text.replace(' ', '_').replace(',', '_');
    }

    /** Returns the column names of engines' load reports, in order. */
    public List<String> loadReportColumns() {
        return loadReportColumns;
    }

    /** Returns whether answers report the work of the query. */
    public boolean reportsWork() {
        return flag("family_info.tells_cost", false);
    }

    /**
     * Returns the settings of the router.
     *
     * @throws SettingsException if a value is invalid
     */
    public RouterSettings settings() {
        AttemptLimits limits =
                new AttemptLimits(
                        flag("ceilings.may_probe", false),
                        flag("ceilings.cancel", false),
                        (int) integer("ceilings.max_attempts", 1));
        ProtectionRules rules =
                new ProtectionRules(
                        number("rules.cold_share", 1),
                        number("rules.overload_factor", 1),
                        integer("rules.fall_us", 0),
                        integer("rules.warm_up_us", 0),
                        integer("rules.turn_gap_us", 0),
                        number("rules.budget_free", 0),
                        number("rules.extra_ratio", 0),
                        integer("rules.counted_over_us", 0));
        EngineCapabilities capabilities =
                new EngineCapabilities(
                        flag("family_info.takes_grants", false),
                        flag("family_info.priorities", false),
                        number("family_info.most_grant", 1),
                        integer("family_info.note_period_us", 0));
        return new RouterSettings(
                (int) Math.max(1, integer("balancers", 1)),
                (int) integer("self_index", 0),
                (int) integer("az", 0),
                new RoutingCosts(number("fees.cross_zone", 0), number("fees.handshake", 0)),
                kinds(),
                classes(),
                tenants(),
                number("over_share_worth", 1),
                limits,
                rules,
                capabilities,
                reporting(),
                text("membership_mode", "automatic").equals("subscribe"),
                integer("tick_us", 1000));
    }

    private LoadReporting reporting() {
        switch (text("stats.how", "off")) {
            case "inline":
                return LoadReporting.WITH_ANSWERS;
            case "on_probe":
                return LoadReporting.ON_PROBE;
            case "off":
                return LoadReporting.NONE;
            default:
                throw invalid("stats.how");
        }
    }

    private List<EngineKind> kinds() {
        List<String> cores = list("family_info.kind_cores");
        List<String> memory = list("family_info.kind_memory_mb");
        List<EngineKind> kinds = new ArrayList<>();
        for (int i = 0; i < cores.size(); i++) {
            double megabytes =
                    i < memory.size() ? parse("family_info.kind_memory_mb", memory.get(i)) : 0;
            kinds.add(new EngineKind(parse("family_info.kind_cores", cores.get(i)), megabytes));
        }
        return kinds;
    }

    private List<QueryClass> classes() {
        List<String> threads = list("family_info.width_by_class");
        List<String> loads = list("family_info.holds_tables");
        List<String> waits = list("family_info.waits_for_loads");
        List<QueryClass> classes = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            String prefix = "lanes." + i + ".";
            int threadCount =
                    i < threads.size()
                            ? (int) parse("family_info.width_by_class", threads.get(i))
                            : 1;
            classes.add(
                    new QueryClass(
                            integer(prefix + "aim_us", 0),
                            number(prefix + "aim_stretch", 0),
                            integer(prefix + "deadline_us", 0),
                            number(prefix + "points", 1),
                            number(prefix + "late_worth", 0),
                            idempotency(prefix + "effect"),
                            idempotencyScope(prefix + "key_scope"),
                            integer(prefix + "window_us", 0),
                            flag(prefix + "one_at_a_time", false),
                            flag(prefix + "stream", false),
                            Math.max(1, threadCount),
                            i < loads.size() && loads.get(i).equals("true"),
                            i < waits.size() && waits.get(i).equals("true"),
                            integers(prefix + "allowed_in"),
                            integers(prefix + "runs_on")));
        }
        return classes;
    }

    private List<TenantLimit> tenants() {
        List<TenantLimit> tenants = new ArrayList<>();
        for (int i = 0; i < count("realms.count"); i++) {
            tenants.add(new TenantLimit(number("realms." + i + ".quota_per_s", 0)));
        }
        return tenants;
    }

    private Idempotency idempotency(String key) {
        switch (text(key, "once")) {
            case "repeatable":
                return Idempotency.IDEMPOTENT;
            case "by_key":
                return Idempotency.IDEMPOTENT_WITH_KEY;
            case "once":
                return Idempotency.NON_IDEMPOTENT;
            default:
                throw invalid(key);
        }
    }

    private IdempotencyScope idempotencyScope(String key) {
        switch (text(key, "cell")) {
            case "all":
                return IdempotencyScope.ALL;
            case "zone":
                return IdempotencyScope.ZONE;
            case "cell":
                return IdempotencyScope.CELL;
            default:
                throw invalid(key);
        }
    }

    /** Returns the names of the query classes by index. */
    public List<String> classNames() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count("lanes.count"); i++) {
            names.add(text("lanes." + i + ".name", Integer.toString(i)));
        }
        return names;
    }

    /** Returns the names of the zones by index. */
    public List<String> zoneNames() {
        return list("zones");
    }

    /** Returns the names of the kinds of engines by index. */
    public List<String> kindNames() {
        return list("flavors");
    }

    /** Returns the limits of connections, which do not affect routing decisions. */
    public ConnectionSettings connectionSettings() {
        return new ConnectionSettings(
                integer("ceilings.dial_timeout_us", 250_000),
                integer("ceilings.conn_idle_us", 30_000_000),
                (int) integer("ceilings.streams_per_conn", 32),
                integer("ceilings.max_retry_after_us", 2_000_000),
                integer("family_info.note_period_us", 0),
                number("fees.handshake", 0) > 0);
    }

    /**
     * Limits of connections to engines and of retry-after times.
     *
     * @param dialTimeoutUs timeout for opening a connection in microseconds
     * @param idleUs time after which an idle connection is closed in microseconds
     * @param maxStreamsPerConnection maximum number of concurrent attempts on a connection
     * @param maxRetryAfterUs maximum retry-after time in microseconds
     * @param progressPeriodUs time between progress reports in microseconds, 0 for none
     * @param connectionsAreCostly whether opening a connection has a cost
     */
    public record ConnectionSettings(
            long dialTimeoutUs,
            long idleUs,
            int maxStreamsPerConnection,
            long maxRetryAfterUs,
            long progressPeriodUs,
            boolean connectionsAreCostly) {}

    private String text(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private boolean flag(String key, boolean defaultValue) {
        String value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.equals("true") && !value.equals("false")) {
            throw invalid(key);
        }
        return value.equals("true");
    }

    private int count(String key) {
        long count = integer(key, 0);
        if (count > MAX_ITEMS) {
            throw invalid(key);
        }
        return (int) count;
    }

    private long integer(String key, long defaultValue) {
        return (long) number(key, defaultValue);
    }

    private double number(String key, double defaultValue) {
        String value = values.get(key);
        return value == null || value.isEmpty() ? defaultValue : parse(key, value);
    }

    private double parse(String key, String value) {
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalid(key);
        }
        if (!(number >= 0) || number > MAX_NUMBER) {
            throw invalid(key);
        }
        return number;
    }

    private List<String> list(String key) {
        String value = values.getOrDefault(key, "");
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private List<Integer> integers(String key) {
        List<Integer> integers = new ArrayList<>();
        for (String item : list(key)) {
            integers.add((int) parse(key, item));
        }
        return integers;
    }

    private SettingsException invalid(String key) {
        return new SettingsException("bad setting: " + key + "=" + values.get(key));
    }
}
