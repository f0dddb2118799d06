// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicostream.core.Clock;
import calicostream.net.InvalidInputException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointListDecoderTest {
    private static final String VALID_EVENT =
            """
            {"seq":2,"fleet":{"snapshot":%s,"endpoints":[{"name":"e1","address":"127.0.0.1:7001","zone":"a","type":"k","group":0,
            "status":"Ready","weight":4,"since_ms":1700000000000}]}}\
            """;

    /** Converts the same time to a later one at each call, as after a step of the system clock. */
    private static final class SteppedClock extends Clock {
        private long stepMillis;

        @Override
        public long fromUnixMillis(long millis) {
            return millis <= 0 ? 0 : millis + ++stepMillis;
        }
    }

    private final EndpointListDecoder decoder =
            new EndpointListDecoder(new SteppedClock(), List.of("a"), List.of("k"));

    /**
     * If an invalid event dropped the recorded start times, they would be converted again with a
     * different result, and every engine would appear to have restarted.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"seq\":3,\"fleet\":{\"snapshot\":true,\"endpoints\":[{\"name\":\"e2\",\"status\":\"What\"}]}}",
                "{\"seq\":3,\"fleet\":{\"snapshot\":true,\"endpoints\":[{\"name\":\"e2\",\"status\":\"Ready\"}]}}",
                "{\"seq\":3,\"fleet\":{\"snapshot\":true,\"endpoints\":[{\"name\":\"e1\",\"status\":\"Gone\"},7]}}",
                "{\"seq\":3,\"fleet\":{\"snapshot\":true}}"
            })
    void invalidSnapshotKeepsRecordedStartTimes(String invalidEvent) throws InvalidInputException {
        long startedAtBefore =
                decoder.decode(VALID_EVENT.formatted("false")).engines().get(0).startedAtUs();
        assertThrows(InvalidInputException.class, () -> decoder.decode(invalidEvent));
        assertEquals(
                startedAtBefore,
                decoder.decode(VALID_EVENT.formatted("false")).engines().get(0).startedAtUs());
    }

    @Test
    void snapshotKeepsUnchangedStartTimes() throws InvalidInputException {
        long startedAtBefore =
                decoder.decode(VALID_EVENT.formatted("false")).engines().get(0).startedAtUs();
        assertEquals(
                startedAtBefore,
                decoder.decode(VALID_EVENT.formatted("true")).engines().get(0).startedAtUs());
    }
}
