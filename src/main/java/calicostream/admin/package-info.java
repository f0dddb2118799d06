// SPDX-License-Identifier: Apache-2.0
/**
 * Owns the operators' HTTP address: readiness, metrics, disabling of engines, and status and
 * commands of optional components. It does not know how any of these are computed; it asks {@link
 * calicostream.admin.AdminOperations}. Read {@link calicostream.admin.AdminServer} first.
 */
package calicostream.admin;
