// SPDX-License-Identifier: Apache-2.0
package calicostream.adapter;

/** The types of event records; their numbers are the protocol's and apart from those of actions. */
enum EventCode {
    INSTANCE_STARTED(1000),
    ENDPOINTS_CHANGED(1010),
    QUERY_ACCEPTED(1020),
    STREAM_STARTED(1030),
    ATTEMPT_ENDED(1040),
    QUERY_ABANDONED(1050),
    TIMER_FIRED(1060),
    PROBE_COMPLETED(1070),
    /** A message from another gateway; it has no meaning here. */
    GATEWAY_MESSAGE(1080),
    INSTANCE_STOPPED(1090),
    QUERY_PROGRESS(1100),
    /** Defines an endpoint list for later events; the only record without an instance. */
    ENDPOINT_LIST(1110);

    private final int value;

    EventCode(int value) {
        this.value = value;
    }

    /** The number in the record. */
    int value() {
        return value;
    }

    static EventCode of(int value) {
        for (EventCode each : values()) {
            if (each.value == value) {
                return each;
            }
        }
        throw new MalformedFrameException("unknown event " + value);
    }
}
