// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates the demand of this process's tenants at each engine from the sessions in use and those
 * queued. An estimate rises at once and falls only after the need has been lower by more than a
 * band for a whole hold time, so that small changes move no grant. Owned by one thread;
 * nanoseconds, sessions.
 */
public final class DemandEstimator {
    /** An estimate is above the recent need by one part in this, so that grants can grow ahead. */
    private static final int SURPLUS_DIVISOR = 8;

    /** An estimate falls once it is too high by more than one part in this. */
    private static final int BAND_DIVISOR = 4;

    private final int tenants;
    private final long holdNanos;
    private final List<Estimate> estimates = new ArrayList<>();

    /**
     * An estimator that has observed nothing.
     *
     * @param tenants how many there are
     * @param holdNanos for how long a lower need must last
     */
    public DemandEstimator(int tenants, long holdNanos) {
        this.tenants = tenants;
        this.holdNanos = holdNanos;
    }

    /** The estimate of one tenant at one engine, and the peaks of need that it rests on. */
    private static final class Estimate {
        private int sessions;
        private int peak;
        private int previousPeak;
        private long peakSince;

        private void observe(int need, long now, long holdNanos) {
            long age = now - peakSince;
            if (age >= holdNanos) {
                previousPeak = age >= 2 * holdNanos ? need : peak;
                peak = need;
                peakSince = now;
            }
            peak = Math.max(peak, need);
            update(withSurplus(Math.max(peak, previousPeak)));
        }

        private static int withSurplus(int need) {
            return need == 0 ? 0 : need + Math.max(1, need / SURPLUS_DIVISOR);
        }

        private void update(int demand) {
            int lowest = sessions - Math.max(1, sessions / BAND_DIVISOR);
            if (demand > sessions || demand < lowest || demand == 0) {
                sessions = demand;
            }
        }
    }

    /**
     * What a tenant uses and has queued at an engine now; to be called at least as often as reports
     * are sent.
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
