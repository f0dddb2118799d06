// SPDX-License-Identifier: Apache-2.0
package calicostream.config;

/** Settings or a configuration can't be used; the message is shown to the operator as it is. */
public class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong, in one line for the operator
     */
    public SettingsException(String message) {
        super(message);
    }
}
