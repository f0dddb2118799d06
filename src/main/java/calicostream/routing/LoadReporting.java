// SPDX-License-Identifier: Apache-2.0
package calicostream.routing;

/** When load reports come: with answers, with probes only, or never. */
public enum LoadReporting {
    WITH_ANSWERS,
    ON_PROBE,
    NONE
}
