// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Each error of the family has its row in the operators' page, and no row is left of one that is gone. */
class ErrorsPageTest {
    @Test
    void everyErrorHasItsRow() throws Exception {
        TreeSet<String> codes = new TreeSet<>();
        for (Class<?> error : ClusterException.class.getPermittedSubclasses()) {
            codes.add((String) error.getField("CODE").get(null));
        }
        assertEquals(ClusterException.class.getPermittedSubclasses().length, codes.size());
        String page = Files.readString(Path.of("docs/operate/cluster.md"));
        assertEquals(codes, Pattern.compile("(?m)^\\| `(cluster-[a-z-]+)` \\|").matcher(page).results()
                .map((MatchResult row) -> row.group(1)).collect(Collectors.toCollection(TreeSet::new)));
    }
}
