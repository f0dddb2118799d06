// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

/** The types of action records; their numbers are the protocol's and apart from those of events. */
enum ActionCode {
    START_ATTEMPT(1000),
    REJECT(1010),
    FAIL(1020),
    CANCEL_ATTEMPT(1030),
    SCHEDULE_TIMER(1040),
    PROBE_LOAD(1050),
    LOG(1080),
    /** The router has thrown an exception and serves no more. */
    ROUTER_FAILED(1090),
    WATCH_ENDPOINTS(1100),
    ASSIGN_RESOURCES(1120);

    private final int value;

    ActionCode(int value) {
        this.value = value;
    }

    /** The number in the record. */
    int value() {
        return value;
    }
}
