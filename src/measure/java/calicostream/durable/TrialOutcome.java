// SPDX-License-Identifier: Apache-2.0
package calicostream.durable;

/**
 * The outcome of a trial.
 *
 * @param description the trial's seed and kind, and what happened
 */
record TrialOutcome(Verdict verdict, String description) {
    /** What a trial showed. */
    enum Verdict {
        /** The log has all that was synced, and says so. */
        INTACT,
        /** State was lost, and the log or the member's peers say so. */
        DETECTED,
        /** Nothing was lost, and the log or the peers say that it was. */
        FALSE_ALARM,
        /** State was lost, and nobody says so. */
        LOST,
        /** The log has something that was never written. */
        FABRICATED
    }
}
