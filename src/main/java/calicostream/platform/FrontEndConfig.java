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
 * The configuration of a front end, read from the file that the platform writes.
 *
 * @param name the front end's name
 * @param listen the address for the platform's clients
 * @param admin the address of the administration API, or null
 * @param changelog the address of the change log, which the endpoint list comes from
 * @param sockets the limit on file descriptors
 * @param seed the seed of random delays; differs between front ends and between starts
 * @param known the endpoint list at the time when the file was written
 * @param settings the settings of the router
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
    private static final int MIN_SOCKETS = 64;

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
                    Math.max(MIN_SOCKETS, sockets),
                    EndpointListDecoder.engineId(name + root.getString("seed", "")),
                    member(root, "known"),
                    SettingsParser.ofJson(member(root, "settings")));
        } catch (ParseException e) {
            throw new SettingsException("bad configuration: not JSON: " + e.getMessage());
        } catch (UnsupportedOperationException | NumberFormatException e) {
            throw new SettingsException(
                    "bad configuration: a value has the wrong type: " + e.getMessage());
        }
    }

    private static JsonObject member(JsonObject root, String name) {
        JsonValue value = root.get(name);
        if (value == null || !value.isObject()) {
            throw new SettingsException("bad configuration: missing object '" + name + "'");
        }
        return value.asObject();
    }

    /** The address of the administration API, from the environment or else the file; or null. */
    private static InetSocketAddress admin(JsonObject root) {
        String environmentValue = System.getenv("NODE_ADMIN");
        if (environmentValue == null || environmentValue.isEmpty()) {
            return root.get("admin") == null || root.get("admin").isNull()
                    ? null
                    : address(root, "admin");
        }
        return address(new JsonObject().add("admin", environmentValue), "admin");
    }

    private static InetSocketAddress address(JsonObject root, String name) {
        try {
            return NumericSocketAddress.parse(root.getString(name, ""));
        } catch (InvalidInputException e) {
            throw new SettingsException("bad configuration: " + name + ": " + e.getMessage());
        }
    }
}
