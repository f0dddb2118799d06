// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

/** What the operators may ask of a front end. Called on the loop's thread. */
public interface AdminOperations {
    /** Whether this process can serve now. */
    boolean isReady();

    /** The figures as a JSON object. */
    String metricsJson();

    /**
     * Leaves an engine out, or puts it back, before this returns; false where no engine has the id.
     */
    boolean disableEngine(String engine);

    boolean enableEngine(String engine);

    /**
     * What a part that is on tells of itself, as a JSON object; null where none that is on has this
     * name, or it tells nothing.
     */
    String statusJson(String part);

    /**
     * Words to a part that is on: null where there is none that knows them, empty where it took
     * them, else why not.
     */
    String executeCommand(String part, String words);
}
