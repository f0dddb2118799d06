// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the records of request outcomes and engine changes that go to a syslog collector. It knows
 * neither how requests are served nor what the collector does with the records. Read {@link
 * calicostream.syslog.SyslogSender} first.
 */
package calicostream.syslog;
