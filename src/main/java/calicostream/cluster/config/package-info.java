// SPDX-License-Identifier: Apache-2.0

/**
 * The settings of the cluster: the file that names the voters and the bounds, with a unit in every
 * value, and what is wrong in it as one line with file, line and key. It does no I/O but to read
 * that file, and does not know what runs by these settings. Read {@link
 * calicostream.cluster.config.ClusterConfig} first, then {@link
 * calicostream.cluster.config.SettingsFile}, by which further sections of the file are read.
 */
package calicostream.cluster.config;
