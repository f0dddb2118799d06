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
 * The table of client sessions, by token or cookie. A session with a login expires a fixed time
 * after the login; a session without login expires when it has been idle for that time. The options
 * of a session apply to its calls.
 */
public final class FlightSessions {
    /** The result of setting one session option. */
    public enum OptionResult {
        SET,
        UNKNOWN_OPTION,
        INVALID_VALUE
    }

    /** One client session. */
    public static final class Session {
        /** The token or cookie that identifies the session. */
        public final String name;

        /** The logged-in user, or empty without login. */
        public final String user;

        private final Map<String, Object> options = new TreeMap<>();
        private long expiresAt;

        private Session(String name, String user, long expiresAt) {
            this.name = name;
            this.user = user;
            this.expiresAt = expiresAt;
        }

        /** The options; each value is a String, Boolean, Long, Double or a list of strings. */
        public Map<String, Object> options() {
            return options;
        }

        /** The value of a string option, or null if it is not set. */
        public String text(String option) {
            return options.get(option) instanceof String text ? text : null;
        }
    }

    /** Session option: the default catalog. */
    public static final String CATALOG = "catalog";

    /** Session option: the default schema. */
    public static final String SCHEMA = "schema";

    /** Session option: the workload class. */
    public static final String CLASS = "class";

    /** Session option: the priority, a {@code Long} from 0 to 3. */
    public static final String PRIORITY = "priority";

    private static final long MAX_PRIORITY = 3;
    private static final int MAX_TEXT_LENGTH = 256;
    private final Supplier<String> names;
    private final Set<String> classes;
    private final int maxSessions;
    private final long timeToLiveUs;
    private final LinkedHashMap<String, Session> sessions = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an empty table; {@code names} must supply unguessable tokens. */
    public FlightSessions(
            Supplier<String> names, Set<String> classes, int maxSessions, long timeToLiveUs) {
        this.names = names;
        this.classes = classes;
        this.maxSessions = maxSessions;
        this.timeToLiveUs = timeToLiveUs;
    }

    /** Opens a session; evicts the least recently used one if the table is full. */
    public Session open(long now, String user) {
        if (sessions.size() >= maxSessions) {
            sessions.remove(sessions.keySet().iterator().next());
        }
        Session session = new Session(names.get(), user, now + timeToLiveUs);
        sessions.put(session.name, session);
        return session;
    }

    /** The session of this name, or null if it does not exist or has expired. */
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

    /** Closes a session; false if it does not exist or has expired. */
    public boolean close(long now, String name) {
        return find(now, name) != null && sessions.remove(name) != null;
    }

    /** Whether a user has an unexpired session. */
    public boolean hasSession(long now, String user) {
        return sessions.values().stream()
                .anyMatch(each -> each.user.equals(user) && each.expiresAt > now);
    }

    /** Removes the expired sessions and returns them. */
    public List<Session> expire(long now) {
        List<Session> out = new ArrayList<>();
        sessions.values().removeIf(each -> each.expiresAt <= now && out.add(each));
        return out;
    }

    /** Sets an option, or clears it if the value is null. */
    public OptionResult set(Session session, String option, Object value) {
        if (!Set.of(CATALOG, SCHEMA, CLASS, PRIORITY).contains(option)) {
            return OptionResult.UNKNOWN_OPTION;
        }
        if (value == null) {
            session.options.remove(option);
            return OptionResult.SET;
        }
        boolean valid =
                switch (option) {
                    case CLASS -> value instanceof String name && classes.contains(name);
                    case PRIORITY ->
                            value instanceof Long level && level >= 0 && level <= MAX_PRIORITY;
                    default ->
                            value instanceof String text
                                    && !text.isEmpty()
                                    && text.length() <= MAX_TEXT_LENGTH;
                };
        if (valid) {
            session.options.put(option, value);
        }
        return valid ? OptionResult.SET : OptionResult.INVALID_VALUE;
    }

    /** The number of sessions, including expired ones not yet removed. */
    public int size() {
        return sessions.size();
    }
}
