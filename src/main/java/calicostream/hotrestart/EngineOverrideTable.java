// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The operators' latest command for each engine, merged over all processes: the later one wins. The
 * table is bounded, and implausible entries of other processes are ignored. One thread uses an
 * object; times are Unix milliseconds.
 */
final class EngineOverrideTable {
    private static final int MAX_OVERRIDES = 1024;
    private static final long MAX_ENGINE_NAME_LENGTH = 256;

    /** How long it matters that an engine was enabled again: longer than any slow start. */
    private static final long ENABLED_RETENTION_MILLIS = 60_000;

    /** How far another process's wall clock may be ahead. */
    private static final long MAX_CLOCK_SKEW_MILLIS = 5_000;

    private final Map<String, EngineOverride> overrides = new HashMap<>();

    /** A read-only view. */
    Map<String, EngineOverride> asMap() {
        return Collections.unmodifiableMap(overrides);
    }

    /**
     * Records a command given to this process, later than all before it for this engine.
     *
     * @return whether there was capacity for it
     */
    boolean record(String engine, boolean disabled, long now) {
        EngineOverride last = overrides.get(engine);
        overrides.values().removeIf(override -> isExpired(override, now));
        if (overrides.size() >= MAX_OVERRIDES) {
            return false;
        }
        long changedAt = last == null ? now : Math.max(now, last.changedAtUnixMillis() + 1);
        overrides.put(engine, new EngineOverride(changedAt, disabled));
        return true;
    }

    /** Merges a command given to another process; returns whether it is news. */
    boolean merge(String engine, EngineOverride override, long now) {
        EngineOverride last = overrides.get(engine);
        boolean plausible =
                engine.length() <= MAX_ENGINE_NAME_LENGTH
                        && override.changedAtUnixMillis() <= now + MAX_CLOCK_SKEW_MILLIS;
        boolean later = last == null || override.changedAtUnixMillis() > last.changedAtUnixMillis();
        if (isExpired(override, now) || !plausible || !later || overrides.size() >= MAX_OVERRIDES) {
            return false;
        }
        overrides.put(engine, override);
        return true;
    }

    private static boolean isExpired(EngineOverride override, long now) {
        return !override.disabled()
                && now - override.changedAtUnixMillis() > ENABLED_RETENTION_MILLIS;
    }
}
