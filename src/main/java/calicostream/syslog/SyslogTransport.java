// SPDX-License-Identifier: Apache-2.0
package calicostream.syslog;

/** Carries records to the collector. Used by the event loop's thread; never blocks. */
interface SyslogTransport {
    /** Sends one record; returns false where it can't be sent now, and is lost. */
    boolean send(byte[] message);
}
