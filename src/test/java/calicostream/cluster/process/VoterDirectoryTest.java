// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom a session may contact. */
class VoterDirectoryTest {
    @Test
    void contactsComeFromSettingsNamedLeadersAndTheCopy() {
        VoterDirectory directory = new VoterDirectory(List.of(1, 2, 3));
        assertFalse(directory.addLeader(0) || directory.addLeader(2));
        assertTrue(directory.addLeader(4));
        assertEquals(List.of(1, 2, 3, 4), directory.members());
        assertFalse(directory.replaceWith(List.of()) || directory.replaceWith(List.of(1, 2, 3, 4)));
        assertTrue(directory.replaceWith(List.of(2, 3, 4)));
        assertEquals(List.of(2, 3, 4), directory.members());
    }
}
