// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Members' folders as somebody may bring them back from elsewhere, or lose them. */
public final class DirectoryCopy {
    private DirectoryCopy() {}

    /** All that is in it, to a place that is not there yet. */
    public static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> all = Files.walk(from)) {
            all.forEach(
                    each -> {
                        try {
                            Files.copy(each, to.resolve(from.relativize(each).toString()));
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    });
        }
    }

    /** With all that is in it. */
    public static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(each);
            }
        }
    }
}
