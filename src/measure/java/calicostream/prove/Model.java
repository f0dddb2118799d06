// SPDX-License-Identifier: Apache-2.0
package calicostream.prove;

import java.util.List;

/**
 * A transition system that {@link Explorer} checks. A state is an array of bytes; equal states are
 * equal arrays. Confined to one thread. Arrays that were passed to {@link Transitions#to} belong to
 * the explorer and must not be changed afterwards.
 */
public interface Model {
    /** Receives the transitions that are possible from a state. */
    interface Transitions {
        /**
         * Reports a transition.
         *
         * @param action what happens, numbered by the model from 0 to 32767
         * @param state the state that it leads to
         */
        void to(int action, byte[] state);

        /**
         * Reports that an action violates an invariant.
         *
         * @param action what happens
         * @param invariant how it is violated, for the report
         */
        void violation(int action, String invariant);
    }

    /** The model's name in reports. */
    String name();

    /** The initial states. */
    List<byte[]> initial();

    /**
     * Reports all transitions from a state, in an order that depends on the state alone.
     *
     * @param state must not be changed
     */
    void transitions(byte[] state, Transitions transitions);

    /** Describes an action for a trace. */
    String describe(int action);
}
