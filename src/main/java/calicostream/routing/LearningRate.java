// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** Computes the weight of a sample in a moving average that starts as a plain mean. */
final class LearningRate {
    /** Weight of a sample after many samples; the average then covers about thirty of them. */
    static final double MINIMUM = 0.03;

    private LearningRate() {}

    /**
     * Returns the weight of the latest sample.
     *
     * @param samples number of samples, including the latest
     */
    static double afterSamples(int samples) {
        return Math.max(MINIMUM, 1.0 / samples);
    }
}
