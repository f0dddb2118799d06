// SPDX-License-Identifier: Apache-2.0
package calicostream.config;

import calicostream.net.InvalidInputException;
import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the JSON file of an optional component, which enables it by the member {@code enabled}. A
 * file that can't be used is reported in one line.
 */
public final class ConfigFile {
    private ConfigFile() {}

    /**
     * Decodes a configuration from the object in the file.
     *
     * @param <T> the configuration
     */
    public interface Reader<T> {
        /** Decodes the object; where it throws, the file can't be used. */
        T read(JsonObject root) throws InvalidInputException;
    }

    /**
     * Whether the file exists and enables its component.
     *
     * @throws SettingsException where the file can't be used
     */
    public static boolean isEnabled(Path path) {
        return readIfEnabled(path, root -> true) != null;
    }

    /**
     * Reads the configuration of an enabled component.
     *
     * @return null where the file does not exist or does not enable its component
     * @throws SettingsException where the file can't be used
     */
    public static <T> T readIfEnabled(Path path, Reader<T> reader) {
        if (!Files.exists(path)) {
            return null;
        }
        try {
            JsonObject root = Json.parse(Files.readString(path)).asObject();
            return root.getBoolean("enabled", false) ? reader.read(root) : null;
        } catch (IOException
                | InvalidInputException
                | ParseException
                | UnsupportedOperationException
                | NumberFormatException e) {
            throw new SettingsException("bad configuration: " + path + ": " + e.getMessage());
        }
    }
}
