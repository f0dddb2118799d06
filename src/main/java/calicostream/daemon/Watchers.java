// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.QueryRouter.Engine;
import calicostream.core.Watcher;
import java.util.List;

/** Several watchers, told one after the other. */
final class Watchers implements Watcher {
    private final List<Watcher> all;

    private Watchers(List<Watcher> all) {
        this.all = List.copyOf(all);
    }

    /** The one that stands for all of them, which are told in this order. */
    static Watcher of(List<Watcher> all) {
        return all.isEmpty() ? Watcher.NONE : all.size() == 1 ? all.get(0) : new Watchers(all);
    }

    @Override
    public void answered(String id, int queryClass, Ending ending, int attempts, long elapsedUs) {
        all.forEach(w -> w.answered(id, queryClass, ending, attempts, elapsedUs));
    }

    @Override
    public void engine(Engine engine) {
        all.forEach(w -> w.engine(engine));
    }
}
