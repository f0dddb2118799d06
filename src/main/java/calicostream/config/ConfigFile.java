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
 * A file of the deploy folder that enables something; what can't be used in it is told in one line.
 */
public final class ConfigFile {
    private ConfigFile() {}

    /** Reads a configuration out of the file's object. */
    public interface Reader<T> {
        T read(JsonObject root) throws InvalidInputException;
    }

    /** Whether there is such a file and it turns its part on. */
    public static boolean isEnabled(Path path) {
        return readIfEnabled(path, root -> true) != null;
    }

    /** Null where there is no such file or it leaves its part off. */
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
