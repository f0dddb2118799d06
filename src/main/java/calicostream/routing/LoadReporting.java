// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** When engines report their load. */
public enum LoadReporting {
    /** With each answer. */
    WITH_ANSWERS,
    /** With answers to load probes only. */
    ON_PROBE,
    /** Never. */
    NONE
}
