// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.config.SettingsException;
import calicostream.core.Clock;
import calicostream.net.InvalidInputException;
import calicostream.net.NumericSocketAddress;
import calicostream.routing.EndpointUpdate;
import calicostream.routing.EngineEndpoint;
import calicostream.routing.EngineLifecycle;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the change log's events into what the core knows of engines. */
public final class EndpointListDecoder {
    /**
     * An event: the engines it names, where each listens, and when each process began by the list's
     * own word, in Unix milliseconds.
     */
    public record Change(
            long seq,
            EndpointUpdate kind,
            List<EngineEndpoint> engines,
            Map<Long, InetSocketAddress> addresses,
            Map<Long, Long> began) {}

    private record Start(long millis, long born) {}

    private final Clock clock;
    private final List<String> zones;
    private final List<String> kinds;
    private final Map<Long, Start> starts = new LinkedHashMap<>();

    /**
     * Creates a decoder that knows no engine.
     *
     * @param zones the names of zones, whose indexes the router uses
     * @param kinds the names of engine kinds, likewise
     */
    public EndpointListDecoder(Clock clock, List<String> zones, List<String> kinds) {
        this.clock = clock;
        this.zones = zones;
        this.kinds = kinds;
    }

    /** The events of the start, put together to one whole list. */
    public Change known(JsonObject known) {
        try {
            Map<Long, EngineEndpoint> engines = new LinkedHashMap<>();
            Map<Long, InetSocketAddress> addresses = new LinkedHashMap<>();
            Map<Long, Long> began = new LinkedHashMap<>();
            long last = known.getLong("seq", 0);
            for (JsonValue each : known.get("results").asArray()) {
                Change change = change(each.asObject());
                if (change.kind == EndpointUpdate.COMPLETE) {
                    engines.clear();
                }
                change.engines.forEach(e -> engines.put(e.id(), e));
                addresses.putAll(change.addresses);
                began.putAll(change.began);
                last = Math.max(last, change.seq);
            }
            engines.values().removeIf(e -> e.lifecycle() == EngineLifecycle.REMOVED);
            return new Change(
                    last, EndpointUpdate.CACHED, List.copyOf(engines.values()), addresses, began);
        } catch (InvalidInputException | RuntimeException e) {
            throw new SettingsException(
                    "bad configuration: 'known' can't be read: " + e.getMessage());
        }
    }

    /**
     * An event that can't be read changes nothing of what is known: its stream is asked for anew.
     */
    public Change parse(String event) throws InvalidInputException {
        Map<Long, Start> before = Map.copyOf(starts);
        try {
            return change(Json.parse(event).asObject());
        } catch (InvalidInputException
                | RuntimeException
                        e) { // RuntimeException: no JSON, or a member missing or of another kind
            starts.clear();
            starts.putAll(before);
            throw e instanceof InvalidInputException known
                    ? known
                    : new InvalidInputException("an event of the change log can't be read: " + e);
        }
    }

    private Change change(JsonObject event) throws InvalidInputException {
        JsonObject fleet = event.get("fleet").asObject();
        boolean whole = fleet.getBoolean("snapshot", false);
        Map<Long, Start> before = Map.copyOf(starts);
        if (whole) {
            starts.clear();
        }
        List<EngineEndpoint> engines = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new LinkedHashMap<>();
        Map<Long, Long> began = new LinkedHashMap<>();
        for (JsonValue each : fleet.get("endpoints").asArray()) {
            JsonObject entry = each.asObject();
            String name = entry.getString("name", "");
            long id = id(name);
            EngineLifecycle state = state(entry.getString("status", ""));
            engines.add(
                    new EngineEndpoint(
                            id,
                            index(kinds, entry.getString("type", "")),
                            entry.getInt("group", 0),
                            index(zones, entry.getString("zone", "")),
                            born(before.get(id), id, entry.getLong("since_ms", 0)),
                            state));
            began.put(id, entry.getLong("since_ms", 0));
            if (state == EngineLifecycle.REMOVED) {
                starts.remove(id);
            }
            String address = entry.getString("address", "");
            if (!address.isEmpty()) {
                addresses.put(id, NumericSocketAddress.parse(address));
            } else if (state == EngineLifecycle.READY) {
                throw new InvalidInputException("an engine without an address");
            }
        }
        return new Change(
                event.getLong("seq", 0),
                whole ? EndpointUpdate.COMPLETE : EndpointUpdate.INCREMENTAL,
                engines,
                addresses,
                began);
    }

    /**
     * A start keeps the module's time it was first given: converted anew it would look like a
     * restart.
     */
    private long born(Start before, long id, long millis) {
        boolean same = before != null && before.millis == millis;
        Start start = same ? before : new Start(millis, clock.ofUnixMillis(millis));
        starts.put(id, start);
        return start.born;
    }

    /** The same number for a name at every front end, as the module compares hashes of it. */
    static long id(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash >>> 16; // as wide as an engine's id on the simulator's wire
    }

    private static int index(List<String> names, String name) {
        int at = names.indexOf(name);
        return at < 0 ? names.size() : at;
    }

    private static EngineLifecycle state(String status) throws InvalidInputException {
        switch (status) {
            case "Ready":
                return EngineLifecycle.READY;
            case "Terminating":
                return EngineLifecycle.DRAINING;
            case "Gone":
                return EngineLifecycle.REMOVED;
            default:
                throw new InvalidInputException("an unknown state of an engine");
        }
    }
}
