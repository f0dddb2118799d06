// SPDX-License-Identifier: Apache-2.0
package calicostream.admin;

/** What the operators may ask of a front end. Called on the loop's thread. */
public interface Operator {
    /** Whether this process can serve now. */
    boolean isReady();

    /** The figures as a JSON object. */
    String figures();

    /** Leaves an engine out, or puts it back, before this returns; false where no engine has the id. */
    boolean disable(String engine);

    boolean enable(String engine);
}
