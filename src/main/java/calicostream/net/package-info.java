// SPDX-License-Identifier: Apache-2.0
/**
 * Owns non-blocking TCP: the event loop, connections with bounded buffers, listeners, and the
 * parsing of numeric addresses. It knows no protocol and makes no decision about requests. Read
 * {@link calicostream.net.SelectorLoop} first.
 */
package calicostream.net;
