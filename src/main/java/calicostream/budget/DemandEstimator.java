// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates the demand of this process's tenants at each engine from the sessions in use and the
 * queued requests. An estimate rises at once, and falls only after the load has been lower by more
 * than a hysteresis band for a whole hold time, so that small fluctuations change no grant. Owned
 * by one thread; times are in nanoseconds, demand in sessions.
 */
public final class DemandEstimator {
    /** An estimate exceeds the recent load by 1/8, so that grants grow ahead of the load. */
    private static final int SURPLUS_DIVISOR = 8;

    /** An estimate falls only if it is too high by more than 1/4. */
    private static final int HYSTERESIS_DIVISOR = 4;

    private final int tenants;
    private final long holdNanos;
    private final List<Estimate> estimates = new ArrayList<>();

    /**
     * Creates an estimator without observations.
     *
     * @param tenants number of tenants
     * @param holdNanos how long the load must stay lower before an estimate falls
     */
    public DemandEstimator(int tenants, long holdNanos) {
        this.tenants = tenants;
        this.holdNanos = holdNanos;
    }

    /** One tenant's estimate at one engine, from the peak loads of this hold time and the last. */
    private static final class Estimate {
        private int sessions;
        private int peak;
        private int previousPeak;
        private long peakStartedAt;

        private void observe(int load, long now, long holdNanos) {
            long age = now - peakStartedAt;
            if (age >= holdNanos) {
                previousPeak = age >= 2 * holdNanos ? load : peak;
                peak = load;
                peakStartedAt = now;
            }
            peak = Math.max(peak, load);
            update(withSurplus(Math.max(peak, previousPeak)));
        }

        private static int withSurplus(int load) {
            return load == 0 ? 0 : load + Math.max(1, load / SURPLUS_DIVISOR);
        }

        private void update(int demand) {
            int hysteresisFloor = sessions - Math.max(1, sessions / HYSTERESIS_DIVISOR);
            if (demand > sessions || demand < hysteresisFloor || demand == 0) {
                sessions = demand;
            }
        }
    }

    /**
     * Observes a tenant's sessions in use and queued requests at an engine; call it at least as
     * often as reports are sent.
     */
    public void observe(int tenant, int engine, int inUse, int queued, long now) {
        while (estimates.size() < (engine + 1) * tenants) {
            estimates.add(new Estimate());
        }
        estimates.get(engine * tenants + tenant).observe(inUse + queued, now, holdNanos);
    }

    /** The tenant's estimated demand at the engine, in sessions; 0 if none was observed. */
    public int estimate(int tenant, int engine) {
        int index = engine * tenants + tenant;
        return index < estimates.size() ? estimates.get(index).sessions : 0;
    }
}
