// SPDX-License-Identifier: Apache-2.0
package calicostream.prove;

import java.util.List;

/**
 * What the explorer explores. A state is an array of bytes, equal states equal arrays; one thread.
 */
public interface Model {
    /** Takes the steps that are possible from a state. */
    interface Steps {
        /**
         * One more step: which action, numbered as the model likes, and the state that it leads to.
         */
        void to(int action, byte[] state);

        /** That action breaks a promise. */
        void broken(int action, String promise);
    }

    String name();

    List<byte[]> initial();

    void steps(byte[] state, Steps steps);

    /** An action in words. */
    String describe(int action);
}
