// SPDX-License-Identifier: Apache-2.0
package calicostream.config;

/** Settings or configuration that can't be used; its message is shown to the operator as it is. */
public class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
