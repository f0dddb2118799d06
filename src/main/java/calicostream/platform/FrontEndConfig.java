// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.config.SettingsException;
import calicostream.net.InvalidInputException;
import calicostream.net.NumericSocketAddress;
import calicostream.routing.SettingsParser;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the platform tells a front end in its configuration file; {@code seed} differs between front
 * ends and starts.
 */
public record FrontEndConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress changelog,
        int sockets,
        long seed,
        JsonObject known,
        SettingsParser settings) {
    private static final int FEWEST_SOCKETS = 64;

    /**
     * Reads a configuration file.
     *
     * @throws SettingsException where it can't be read or is invalid
     */
    public static FrontEndConfig read(Path path) {
        try {
            return parse(Files.readString(path));
        } catch (IOException e) {
            throw new SettingsException("bad configuration: can't read " + path);
        }
    }

    static FrontEndConfig parse(String text) {
        try {
            JsonObject root = Json.parse(text).asObject();
            JsonValue limits = root.get("limits");
            int sockets = limits == null ? 1024 : limits.asObject().getInt("sockets", 1024);
            String name = root.getString("name", "front");
            return new FrontEndConfig(
                    name,
                    address(root, "listen"),
                    admin(root),
                    address(root, "changelog"),
                    Math.max(FEWEST_SOCKETS, sockets),
                    EndpointListDecoder.id(name + root.getString("seed", "")),
                    member(root, "known"),
                    SettingsParser.ofJson(member(root, "settings")));
        } catch (ParseException e) {
            throw new SettingsException("bad configuration: not JSON: " + e.getMessage());
        } catch (UnsupportedOperationException | NumberFormatException e) {
            throw new SettingsException(
                    "bad configuration: a value is of the wrong kind: " + e.getMessage());
        }
    }

    private static JsonObject member(JsonObject root, String name) {
        JsonValue value = root.get(name);
        if (value == null || !value.isObject()) {
            throw new SettingsException("bad configuration: no object '" + name + "'");
        }
        return value.asObject();
    }

    /** The operators' address, where there is one: the environment names it, or the file. */
    private static InetSocketAddress admin(JsonObject root) {
        String named = System.getenv("NODE_ADMIN");
        if (named == null || named.isEmpty()) {
            return root.get("admin") == null || root.get("admin").isNull()
                    ? null
                    : address(root, "admin");
        }
        return address(new JsonObject().add("admin", named), "admin");
    }

    private static InetSocketAddress address(JsonObject root, String name) {
        try {
            return NumericSocketAddress.parse(root.getString(name, ""));
        } catch (InvalidInputException e) {
            throw new SettingsException("bad configuration: " + name + ": " + e.getMessage());
        }
    }
}
