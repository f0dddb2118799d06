// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import calicostream.net.InvalidInputException;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Encodes a {@link PeerState} as the JSON text that is kept in a process's slot. Processes of
 * different releases read each other's text, so its member names never change.
 */
final class PeerStateCodec {
    private static final int VERSION = 1;

    /** A longer run time is treated as damaged and counts as not learned. */
    private static final double MAX_RUN_TIME_MICROS = 600e6;

    private PeerStateCodec() {}

    static byte[] encode(PeerState state) {
        JsonObject engines = Json.object();
        state.overrides().forEach((engine, override) -> engines.add(engine, toJson(override)));
        return Json.object()
                .add("version", VERSION)
                .add("process", state.processId())
                .add("idReaders", toJson(state.idReaders()))
                .add("generation", state.generation())
                .add("listening", state.listening())
                .add("seq", state.eventSequence())
                .add("learned", Json.array(state.learnedRunTimes()))
                .add("engines", engines)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private static JsonValue toJson(Set<Long> processIds) {
        return Json.array(processIds.stream().mapToLong(Long::longValue).toArray());
    }

    private static JsonObject toJson(EngineOverride override) {
        return Json.object()
                .add("at", override.changedAtUnixMillis())
                .add("out", override.disabled());
    }

    /**
     * Decodes the text of another process.
     *
     * @return the state; empty where the text has another version
     * @throws InvalidInputException where the text is not a state of this version
     */
    static Optional<PeerState> decode(byte[] content) throws InvalidInputException {
        try {
            JsonObject root = Json.parse(new String(content, StandardCharsets.UTF_8)).asObject();
            if (root.getInt("version", 0) != VERSION) {
                return Optional.empty();
            }
            return Optional.of(
                    new PeerState(
                            root.getLong("process", 0),
                            processIds(root.get("idReaders")),
                            root.getLong("generation", 0),
                            root.getBoolean("listening", false),
                            root.getLong("seq", 0),
                            runTimes(root.get("learned")),
                            overrides(root.get("engines"))));
        } catch (ParseException | UnsupportedOperationException | NumberFormatException e) {
            throw new InvalidInputException(e.toString());
        }
    }

    private static Set<Long> processIds(JsonValue values) {
        Set<Long> processIds = new HashSet<>();
        if (values != null) {
            values.asArray().forEach(value -> processIds.add(value.asLong()));
        }
        return processIds;
    }

    private static double[] runTimes(JsonValue values) {
        double[] runTimes = new double[values == null ? 0 : values.asArray().size()];
        for (int i = 0; i < runTimes.length; i++) {
            double value = values.asArray().get(i).asDouble();
            runTimes[i] = value > 0 && value < MAX_RUN_TIME_MICROS ? value : 0;
        }
        return runTimes;
    }

    private static Map<String, EngineOverride> overrides(JsonValue engines)
            throws InvalidInputException {
        if (engines == null) {
            throw new InvalidInputException("no member 'engines'");
        }
        Map<String, EngineOverride> overrides = new HashMap<>();
        for (JsonObject.Member member : engines.asObject()) {
            JsonObject override = member.getValue().asObject();
            overrides.put(
                    member.getName(),
                    new EngineOverride(
                            override.getLong("at", 0), override.getBoolean("out", false)));
        }
        return overrides;
    }
}
