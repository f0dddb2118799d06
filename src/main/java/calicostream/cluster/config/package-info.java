// SPDX-License-Identifier: Apache-2.0

/**
 * Owns the settings of the cluster: reading the TOML file, checking units, bounds and
 * contradictions, and reporting a mistake as one line with file, line and key. It does no I/O
 * beyond reading that file and does not know which classes use the settings. Read {@link
 * calicostream.cluster.config.ClusterConfig} first, then {@link
 * calicostream.cluster.config.SettingsFile}, from which other parts read further sections.
 */
package calicostream.cluster.config;
