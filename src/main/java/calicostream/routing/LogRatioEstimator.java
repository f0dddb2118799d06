// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Estimates the mean and the variance of the natural logarithm of the ratio between actual values
 * and their estimates.
 */
final class LogRatioEstimator {
    /**
     * Maximum logarithmic deviation counted for one sample; limits the effect of a single bad query
     * plan.
     */
    private static final double MAX_LOG_STEP = 1.5;

    /** Number of samples that the initial assumption counts as. */
    private static final int PRIOR_SAMPLES = 2;

    private static final double INITIAL_VARIANCE = 0.25;

    private double mean;
    private double variance = INITIAL_VARIANCE;
    private int samples;

    /** Records an actual value and its estimate; ignored unless both are positive. */
    void record(double actual, double estimate) {
        if (actual <= 0 || estimate <= 0) {
            return;
        }
        double deviation = Math.log(actual / estimate) - mean;
        double step = Math.min(MAX_LOG_STEP, Math.max(-MAX_LOG_STEP, deviation));
        samples++;
        double weight = LearningRate.afterSamples(samples + PRIOR_SAMPLES);
        variance += (step * step - variance) * weight;
        mean += step * weight;
    }

    /**
     * Returns the ratio of actual value to estimate at the given number of standard deviations
     * above the mean.
     */
    double upperRatio(double deviations) {
        return Math.exp(mean + deviations * standardDeviation());
    }

    double standardDeviation() {
        return Math.sqrt(variance);
    }

    boolean hasSamples() {
        return samples > 0;
    }
}
