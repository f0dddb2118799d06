// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** When engines send load reports. */
public enum LoadReporting {
    /** With each answer. */
    WITH_ANSWERS,
    /** Only with the results of load probes. */
    ON_PROBE,
    /** Never. */
    NONE
}
