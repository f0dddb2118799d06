// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the configuration files that enable optional components, and the error for settings that
 * can't be used. It knows no component and no member of a file but {@code enabled}. Read {@link
 * calicostream.config.ConfigFile} first.
 */
package calicostream.config;
