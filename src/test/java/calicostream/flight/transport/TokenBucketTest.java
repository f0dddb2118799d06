// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
    @Test
    void anOverdrawnBucketIsRefilledByTimeAndByCreditUpToItsCapacity() {
        TokenBucket bucket = new TokenBucket(1000, 0);
        bucket.charge(1500);
        assertFalse(bucket.hasTokens(0));
        assertFalse(bucket.hasTokens(TimeUnit.MILLISECONDS.toNanos(500)));
        assertTrue(bucket.hasTokens(TimeUnit.MILLISECONDS.toNanos(502)));
        bucket.credit(5000);
        bucket.charge(1001);
        assertFalse(bucket.hasTokens(TimeUnit.MILLISECONDS.toNanos(502)));
        assertTrue(bucket.hasTokens(TimeUnit.SECONDS.toNanos(100)));
    }
}
