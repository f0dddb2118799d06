// SPDX-License-Identifier: Apache-2.0
/**
 * Hot restart: owns the file through which the processes of one server share state while a new
 * process replaces an old one, and the key locks in it. It knows neither sockets nor the routing
 * decisions, and opens nothing after the process has joined. Read {@link
 * calicostream.hotrestart.HotRestart} first.
 */
package calicostream.hotrestart;
