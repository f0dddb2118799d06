// SPDX-License-Identifier: Apache-2.0
package calicostream.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** The message texts, and the accessors that errors derive from their details. */
class ErrorDetailsTest {
    private static final ErrorDetails DETAILS =
            new ErrorDetails("disk-full", "no room", "free some");

    /** An error that is no type of the program. */
    private static final class SampleException extends OperationalException {
        private static final long serialVersionUID = 1L;

        SampleException() {
            super(DETAILS);
        }
    }

    @Test
    void messagesJoinCodeFactsAndRemedy() {
        assertEquals("disk-full: no room", DETAILS.message());
        assertEquals("disk-full: no room; free some", DETAILS.messageWithRemedy());
    }

    @Test
    void exceptionExposesItsDetailsAndHasNoStackTrace() {
        SampleException exception = new SampleException();
        assertEquals("disk-full", exception.code());
        assertEquals("no room", exception.facts());
        assertEquals("free some", exception.remedy());
        assertEquals("disk-full: no room", exception.getMessage());
        assertNull(exception.getCause());
        assertEquals(0, exception.getStackTrace().length);
    }
}
