// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Sessions of clients, by the token or cookie that names them. A token ends a set time after its
 * login, a session without login when nobody has used it for that long. Options of a session hold
 * for its calls.
 */
public final class FlightSessions {
    /** What became of one option that a client set. */
    public enum OptionResult {
        SET,
        UNKNOWN_OPTION,
        INVALID_VALUE
    }

    /** One session. */
    public static final class Session {
        public final String name;
        public final String user; // empty: nobody logged in
        private final Map<String, Object> options = new TreeMap<>();
        private long expiresAt;

        private Session(String name, String user, long until) {
            this.name = name;
            this.user = user;
            this.expiresAt = until;
        }

        /** Values are String, Boolean, Long, Double or a list of strings. */
        public Map<String, Object> options() {
            return options;
        }

        public String text(String option) {
            return options.get(option) instanceof String text ? text : null;
        }
    }

    public static final String CATALOG = "catalog",
            SCHEMA = "schema",
            CLASS = "class",
            PRIORITY = "priority";
    private static final int MAX_TEXT_LENGTH = 256;
    private final Supplier<String> names;
    private final Set<String> classes;
    private final int maxSessions;
    private final long timeToLiveUs;
    private final LinkedHashMap<String, Session> sessions = new LinkedHashMap<>(16, 0.75f, true);

    public FlightSessions(Supplier<String> names, Set<String> classes, int most, long lifeUs) {
        this.names = names;
        this.classes = classes;
        this.maxSessions = most;
        this.timeToLiveUs = lifeUs;
    }

    /** Opens a session; the least recently used one goes where there are too many. */
    public Session open(long now, String user) {
        if (sessions.size() >= maxSessions) {
            sessions.remove(sessions.keySet().iterator().next());
        }
        Session made = new Session(names.get(), user, now + timeToLiveUs);
        sessions.put(made.name, made);
        return made;
    }

    /** The session of this name, or null where there is none, or none any more. */
    public Session find(long now, String name) {
        Session found = name == null ? null : sessions.get(name);
        if (found == null || found.expiresAt <= now) {
            return null;
        }
        if (found.user.isEmpty()) {
            found.expiresAt = now + timeToLiveUs;
        }
        return found;
    }

    public boolean close(long now, String name) {
        return find(now, name) != null && sessions.remove(name) != null;
    }

    /** Whether a user has a session left. */
    public boolean hasSession(long now, String user) {
        return sessions.values().stream()
                .anyMatch(each -> each.user.equals(user) && each.expiresAt > now);
    }

    public List<Session> expire(long now) {
        List<Session> out = new ArrayList<>();
        sessions.values().removeIf(each -> each.expiresAt <= now && out.add(each));
        return out;
    }

    /** Sets an option, or clears it where the value is null. */
    public OptionResult set(Session session, String option, Object value) {
        if (!Set.of(CATALOG, SCHEMA, CLASS, PRIORITY).contains(option)) {
            return OptionResult.UNKNOWN_OPTION;
        }
        if (value == null) {
            session.options.remove(option);
            return OptionResult.SET;
        }
        boolean fits =
                switch (option) {
                    case CLASS -> value instanceof String name && classes.contains(name);
                    case PRIORITY -> value instanceof Long level && level >= 0 && level <= 3;
                    default ->
                            value instanceof String text
                                    && !text.isEmpty()
                                    && text.length() <= MAX_TEXT_LENGTH;
                };
        if (fits) {
            session.options.put(option, value);
        }
        return fits ? OptionResult.SET : OptionResult.INVALID_VALUE;
    }

    public int size() {
        return sessions.size();
    }
}
