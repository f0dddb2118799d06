// SPDX-License-Identifier: Apache-2.0
package calicostream.mass;

import calicostream.QueryRouter;
import java.util.List;
import java.util.TreeMap;

/**
 * What policies to compare with have in common: each query goes out once, and all that they do not
 * heed is passed over.
 */
public abstract class PlainRouter implements QueryRouter {
    protected final Actions actions;
    protected final TreeMap<Long, Engine> ready = new TreeMap<>();

    protected PlainRouter(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void roster(long now, RosterKind kind, List<Engine> engines) {
        if (kind == RosterKind.COMPLETE || kind == RosterKind.CACHED) {
            ready.clear();
        }
        for (Engine e : engines) {
            if (e.state() == EngineState.READY) {
                ready.put(e.id(), e);
            } else {
                ready.remove(e.id());
            }
        }
    }

    @Override
    public void ended(long now, AttemptEnd end) {
        if (!end.over()) {
            actions.fail(end.query());
        }
    }

    @Override
    public void start(long now) {}

    @Override
    public void started(long now, long query, int attempt) {}

    @Override
    public void progress(long now, Progress progress) {}

    @Override
    public void abandoned(long now, long query) {}

    @Override
    public void timer(long now, long token) {}

    @Override
    public void probed(long now, long engine, Outcome outcome, Report report) {}

    @Override
    public void restored(long now, long engine) {}

    @Override
    public void sharedBy(long now, int processes, int place) {}

    @Override
    public double[] learned() {
        return new double[0];
    }

    @Override
    public void learned(double[] before) {}

    @Override
    public boolean avoids(long engine) {
        return false;
    }
}
