// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.config.SettingsException;
import calicostream.flight.state.FlightSessions;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import org.apache.commons.codec.digest.Crypt;

/**
 * Who calls. With a table of users each call needs a token, or a name and password that it is given
 * one for; without, a cookie names the session of a client that asked for one. Passwords are
 * checked off the loop, as that takes a while.
 */
final class Authentication {
    private static final int MOST_CHECKS = 64;
    private static final String UNKNOWN = "$6$calicostream$" + "x".repeat(86);
    private final RequestDispatcher desk;
    private final FlightSessions sessions;
    private final Map<String, String> users; // null: nobody needs to log in
    private final ExecutorService workers;
    private Consumer<String> onLast = user -> {};
    private int checks;

    Authentication(RequestDispatcher desk, ExecutorService workers) {
        this.desk = desk;
        this.workers = workers;
        sessions =
                new FlightSessions(
                        desk::name,
                        new LinkedHashSet<>(desk.classNames()),
                        desk.config.sessions(),
                        desk.config.tokenLifeUs());
        users = desk.config.users() == null ? null : read(desk.config.users());
    }

    /**
     * Lines {@code name:hash} in crypt(3)'s form for SHA-256 or SHA-512; blank ones and those with
     * # are skipped.
     */
    static Map<String, String> read(Path path) {
        Map<String, String> out = new HashMap<>();
        try {
            int number = 0;
            for (String line : Files.readAllLines(path)) {
                number++;
                String text = line.trim();
                int at = text.indexOf(':');
                if (text.isEmpty() || text.startsWith("#")) {
                    continue;
                }
                String hash = text.substring(at + 1);
                if (at <= 0 || !(hash.startsWith("$6$") || hash.startsWith("$5$"))) {
                    throw new SettingsException(
                            "bad configuration: "
                                    + path
                                    + ": line "
                                    + number
                                    + " is not NAME:HASH with a hash of crypt(3)'s kind $5$ or"
                                    + " $6$");
                }
                out.put(text.substring(0, at), hash);
            }
        } catch (IOException e) {
            throw new SettingsException("bad configuration: " + path + ": " + e);
        }
        return out;
    }

    /** Told of a user whose last session is closed: what that user has open ends with it. */
    void onLast(Consumer<String> then) {
        onLast = then;
    }

    FlightSessions sessions() {
        return sessions;
    }

    /** Finds out who calls, then goes on, or tells the call to log in. */
    void identify(ServerCall<?> call, Runnable then) {
        long now = desk.now();
        String header = call.caller.authorization;
        if (users == null) {
            call.session = sessions.find(now, call.caller.cookie);
            call.client = call.caller.remote;
            then.run();
        } else if (header != null && header.startsWith("Bearer ")) {
            call.session = sessions.find(now, header.substring("Bearer ".length()));
            if (call.session == null) {
                call.fail(FlightStatuses.NO_TOKEN);
            } else {
                known(call, then);
            }
        } else if (header != null && header.startsWith("Basic ")) {
            login(
                    call,
                    header.substring("Basic ".length()),
                    user -> {
                        call.session = sessions.open(desk.now(), user);
                        call.caller.grant(call.session.name);
                        known(call, then);
                    });
        } else {
            call.fail(FlightStatuses.NO_TOKEN);
        }
    }

    private static void known(ServerCall<?> call, Runnable then) {
        call.owner = call.session.user;
        call.client = call.session.user;
        then.run();
    }

    private void login(ServerCall<?> call, String credentials, Consumer<String> then) {
        String text;
        try {
            text = new String(Base64.getDecoder().decode(credentials), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            text = "";
        }
        int at = text.indexOf(':');
        if (at <= 0) {
            call.fail(FlightStatuses.NO_TOKEN);
            return;
        }
        if (checks >= MOST_CHECKS) {
            call.fail(FlightStatuses.refusal(desk.mostWaitMs()), desk.mostWaitMs());
            return;
        }
        checks++;
        String user = text.substring(0, at);
        String password = text.substring(at + 1);
        String hash = users.getOrDefault(user, UNKNOWN); // As long for a name that there is not.
        workers.execute(
                () -> {
                    boolean right = matches(password, hash);
                    desk.loop.post(() -> call.run(() -> checked(call, user, right, then)));
                });
    }

    private void checked(ServerCall<?> call, String user, boolean right, Consumer<String> then) {
        checks--;
        if (call.isOver()) {
            return;
        }
        if (right) {
            then.accept(user);
        } else {
            call.fail(FlightStatuses.NO_TOKEN);
        }
    }

    /** Whether the hash is of this password; a hash that can't be read is of none. */
    static boolean matches(String password, String hash) {
        try {
            return MessageDigest.isEqual(
                    Crypt.crypt(password, hash).getBytes(StandardCharsets.UTF_8),
                    hash.getBytes(StandardCharsets.UTF_8));
        } catch (RuntimeException | Error e) {
            // Whatever it is, the caller is to be answered.
            return false;
        }
    }

    /**
     * The session that an option is set in: a new one, named by a cookie, where nobody needs to log
     * in.
     */
    FlightSessions.Session opened(ServerCall<?> call) {
        if (call.session == null) {
            call.session = sessions.open(desk.now(), "");
            call.caller.giveCookie(call.session.name);
        }
        return call.session;
    }

    boolean close(ServerCall<?> call) {
        boolean closed = call.session != null && sessions.close(desk.now(), call.session.name);
        if (closed && users != null && !sessions.hasSession(desk.now(), call.session.user)) {
            onLast.accept(call.session.user);
        }
        if (closed && users == null) {
            call.caller.dropCookie();
        }
        return closed;
    }

    void look(long now) {
        sessions.expire(now);
    }
}
