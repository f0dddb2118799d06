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

/**
 * Decodes events of the endpoint list into engines, addresses and start times. Remembers the start
 * time of each engine from event to event. Not thread-safe.
 */
public final class EndpointListDecoder {
    /**
     * A decoded event.
     *
     * @param sequence the event's sequence number
     * @param updateKind whether the event holds the complete list or changes of it
     * @param engines the engines that the event names
     * @param addresses where each of these engines listens, by engine id
     * @param startedAtUnixMillis when each engine's process started according to the list, by
     *     engine id
     */
    public record Change(
            long sequence,
            EndpointUpdate updateKind,
            List<EngineEndpoint> engines,
            Map<Long, InetSocketAddress> addresses,
            Map<Long, Long> startedAtUnixMillis) {}

    /** The start of an engine's process, as listed and converted to the router's clock. */
    private record ProcessStart(long unixMillis, long startedAtMicros) {}

    private final Clock clock;
    private final List<String> zoneNames;
    private final List<String> kindNames;
    private final Map<Long, ProcessStart> processStarts = new LinkedHashMap<>();

    /**
     * Creates a decoder that has decoded no event.
     *
     * @param zoneNames the names of the zones; the router uses their indexes
     * @param kindNames the names of the engine kinds; the router uses their indexes
     */
    public EndpointListDecoder(Clock clock, List<String> zoneNames, List<String> kindNames) {
        this.clock = clock;
        this.zoneNames = zoneNames;
        this.kindNames = kindNames;
    }

    /** Merges the events that the configuration holds into one complete list. */
    public Change decodeInitial(JsonObject known) {
        try {
            Map<Long, EngineEndpoint> engines = new LinkedHashMap<>();
            Map<Long, InetSocketAddress> addresses = new LinkedHashMap<>();
            Map<Long, Long> startedAtUnixMillis = new LinkedHashMap<>();
            long lastSequence = known.getLong("seq", 0);
            for (JsonValue element : known.get("results").asArray()) {
                Change change = decodeEvent(element.asObject());
                if (change.updateKind == EndpointUpdate.COMPLETE) {
                    engines.clear();
                }
                change.engines.forEach(e -> engines.put(e.id(), e));
                addresses.putAll(change.addresses);
                startedAtUnixMillis.putAll(change.startedAtUnixMillis);
                lastSequence = Math.max(lastSequence, change.sequence);
            }
            engines.values().removeIf(e -> e.lifecycle() == EngineLifecycle.REMOVED);
            return new Change(
                    lastSequence,
                    EndpointUpdate.CACHED,
                    List.copyOf(engines.values()),
                    addresses,
                    startedAtUnixMillis);
        } catch (InvalidInputException | RuntimeException e) {
            throw new SettingsException(
                    "bad configuration: 'known' can't be decoded: " + e.getMessage());
        }
    }

    /**
     * Decodes one event. An invalid event leaves the recorded start times unchanged, as the events
     * are then requested again.
     */
    public Change decode(String event) throws InvalidInputException {
        Map<Long, ProcessStart> previousStarts = Map.copyOf(processStarts);
        try {
            return decodeEvent(Json.parse(event).asObject());
        } catch (InvalidInputException | RuntimeException e) {
            // RuntimeException: not JSON, or a member is missing or of the wrong type.
            processStarts.clear();
            processStarts.putAll(previousStarts);
            throw e instanceof InvalidInputException invalidInput
                    ? invalidInput
                    : new InvalidInputException("invalid event: " + e);
        }
    }

    private Change decodeEvent(JsonObject event) throws InvalidInputException {
        JsonObject endpointList = event.get("fleet").asObject();
        boolean isSnapshot = endpointList.getBoolean("snapshot", false);
        Map<Long, ProcessStart> previousStarts = Map.copyOf(processStarts);
        if (isSnapshot) {
            processStarts.clear();
        }
        List<EngineEndpoint> engines = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new LinkedHashMap<>();
        Map<Long, Long> startedAtUnixMillis = new LinkedHashMap<>();
        for (JsonValue element : endpointList.get("endpoints").asArray()) {
            JsonObject entry = element.asObject();
            String name = entry.getString("name", "");
            long engineId = engineId(name);
            EngineLifecycle lifecycle = lifecycle(entry.getString("status", ""));
            engines.add(
                    new EngineEndpoint(
                            engineId,
                            indexOrSize(kindNames, entry.getString("type", "")),
                            entry.getInt("group", 0),
                            indexOrSize(zoneNames, entry.getString("zone", "")),
                            startedAtMicros(
                                    previousStarts.get(engineId),
                                    engineId,
                                    entry.getLong("since_ms", 0)),
                            lifecycle));
            startedAtUnixMillis.put(engineId, entry.getLong("since_ms", 0));
            if (lifecycle == EngineLifecycle.REMOVED) {
                processStarts.remove(engineId);
            }
            String address = entry.getString("address", "");
            if (!address.isEmpty()) {
                addresses.put(engineId, NumericSocketAddress.parse(address));
            } else if (lifecycle == EngineLifecycle.READY) {
                throw new InvalidInputException("a ready engine without an address");
            }
        }
        return new Change(
                event.getLong("seq", 0),
                isSnapshot ? EndpointUpdate.COMPLETE : EndpointUpdate.INCREMENTAL,
                engines,
                addresses,
                startedAtUnixMillis);
    }

    /**
     * Converts a listed start time to the router's clock. An unchanged start time keeps its first
     * conversion: a second one may give another value, which would look like a restart.
     */
    private long startedAtMicros(ProcessStart previous, long engineId, long unixMillis) {
        boolean same = previous != null && previous.unixMillis == unixMillis;
        ProcessStart start =
                same ? previous : new ProcessStart(unixMillis, clock.fromUnixMillis(unixMillis));
        processStarts.put(engineId, start);
        return start.startedAtMicros;
    }

    /**
     * The id of an engine: the FNV-1a hash of its name. Every front end must compute the same id,
     * because the router compares hashes of it.
     */
    static long engineId(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash >>> 16; // 48 bits, the width of an engine id in the simulator's protocol.
    }

    /** The index of a name; the size of the list where it is unknown. */
    private static int indexOrSize(List<String> names, String name) {
        int position = names.indexOf(name);
        return position < 0 ? names.size() : position;
    }

    private static EngineLifecycle lifecycle(String status) throws InvalidInputException {
        switch (status) {
            case "Ready":
                return EngineLifecycle.READY;
            case "Terminating":
                return EngineLifecycle.DRAINING;
            case "Gone":
                return EngineLifecycle.REMOVED;
            default:
                throw new InvalidInputException("unknown engine status");
        }
    }
}
