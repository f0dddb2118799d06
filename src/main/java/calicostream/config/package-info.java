// SPDX-License-Identifier: Apache-2.0
/**
 * The files of the deploy folder that turn parts of the program on: whether one does, and how what
 * can't be used in it is told. It knows no part and no key but {@code enabled}. Read {@link
 * calicostream.config.ConfigFile} first.
 */
package calicostream.config;
