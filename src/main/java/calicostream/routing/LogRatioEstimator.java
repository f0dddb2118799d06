// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/**
 * Learns how far actual figures lie from their estimates: the mean and the variance of the natural
 * logarithm of their ratio.
 */
final class LogRatioEstimator {
    /** Largest logarithmic step of one sample, so that one bad plan does not set the scale. */
    private static final double MAX_LOG_STEP = 1.5;

    /** Samples that the assumption before the first sample counts for. */
    private static final int PRIOR_SAMPLES = 2;

    private static final double INITIAL_VARIANCE = 0.25;

    private double mean;
    private double variance = INITIAL_VARIANCE;
    private int samples;

    /** Takes in an actual figure and its estimate; ignored unless both are positive. */
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

    /** Returns the factor from an estimate to the figure so many deviations above the mean. */
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
