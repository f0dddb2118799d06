// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Copies and deletes folders, as an operator may restore or lose them. Stateless. */
public final class DirectoryCopy {
    private DirectoryCopy() {}

    /** Copies a folder with its content to a path that does not exist yet. */
    public static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> paths = Files.walk(from)) {
            paths.forEach(
                    each -> {
                        try {
                            Files.copy(each, to.resolve(from.relativize(each).toString()));
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    });
        }
    }

    /** Deletes a folder with its content. */
    public static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path each : paths.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(each);
            }
        }
    }
}
