// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import calicostream.routing.Query;
import calicostream.routing.RouterActions;
import java.util.ArrayList;
import java.util.SplittableRandom;

/** The baseline: each query goes to an engine drawn from those listed as ready, once. */
final class RandomChoice extends LeastLoadedRouter {
    private final SplittableRandom random;

    RandomChoice(RouterActions actions, long seed) {
        super(actions);
        random = new SplittableRandom(seed);
    }

    @Override
    public void queryAccepted(long now, Query query) {
        actions.startAttempt(
                query.id(), new ArrayList<>(ready.keySet()).get(random.nextInt(ready.size())), 0);
    }
}
