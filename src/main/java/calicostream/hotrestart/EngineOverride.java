// SPDX-License-Identifier: Apache-2.0
package calicostream.hotrestart;

/**
 * An operator's latest administrative command for one engine.
 *
 * @param changedAtUnixMillis when the command was given, in Unix milliseconds of the process that
 *     accepted it; orders the commands for one engine across processes
 * @param disabled whether the engine is disabled; false after it was enabled again
 */
public record EngineOverride(long changedAtUnixMillis, boolean disabled) {}
