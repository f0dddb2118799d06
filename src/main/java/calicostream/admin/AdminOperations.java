// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

/** The administrative operations of a server. All methods are called on the event loop's thread. */
public interface AdminOperations {
    /** Whether this process can serve requests now. */
    boolean isReady();

    /** The metrics as a JSON object. */
    String metricsJson();

    /**
     * Disables an engine before it returns: no further requests are sent to it.
     *
     * @return false where no engine has the id
     */
    boolean disableEngine(String engine);

    /**
     * Enables a disabled engine before it returns.
     *
     * @return false where no engine has the id
     */
    boolean enableEngine(String engine);

    /**
     * The status of an optional component.
     *
     * @return a JSON object; null where no component that runs has the name, or it has no status
     */
    String statusJson(String component);

    /**
     * Passes an administrative command to an optional component.
     *
     * @return null where no component that runs knows the command, an empty text where it was
     *     accepted, else the reason of its rejection in one line
     */
    String executeCommand(String component, String command);
}
