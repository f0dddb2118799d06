// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Set;
import java.util.TreeMap;

/**
 * The lease of a process's grants on the process's side: matches replies to reports by number, and
 * knows until when the grants may be used. Not thread-safe. The caller passes the time, in
 * nanoseconds of the process's monotonic clock.
 *
 * <p>A renewal counts from when its report was created, which is before the leader's lease time
 * starts, so the lease expires at the process first.
 */
final class GrantLease {
    /** Limit on reports without a reply; replies to older reports are ignored. */
    private static final int MAX_PENDING_REPORTS = 64;

    private final long usableNanos;
    private final Set<Safeguard> disabledSafeguards;

    /** By report number: when the report was created. */
    private final TreeMap<Long, Long> pendingReports = new TreeMap<>();

    private boolean isActive;
    private long expiresAt;
    private long lastReportNumber;
    private long lastAppliedReport;
    private long oldestValidReport;
    private long grantVersion;

    GrantLease(BudgetSettings settings, Set<Safeguard> disabledSafeguards) {
        this.usableNanos = settings.usableNanos();
        this.disabledSafeguards = disabledSafeguards;
    }

    /** Whether the grants may be used, as of the last call that passed the time. */
    boolean isActive() {
        return isActive;
    }

    /** Whether an active lease has reached its end, so that the owner must call {@link #expire}. */
    boolean isPastExpiry(long now) {
        return isActive && now >= expiresAt;
    }

    /** The version of the active grants; 0 if none are active. */
    long activeVersion() {
        return isActive ? grantVersion : 0;
    }

    /**
     * Registers a new report.
     *
     * @return the report's number
     */
    long beginReport(long now) {
        lastReportNumber++;
        pendingReports.put(lastReportNumber, now);
        if (pendingReports.size() > MAX_PENDING_REPORTS) {
            pendingReports.pollFirstEntry();
        }
        if (!isActive && !disabledSafeguards.contains(Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY)) {
            // This report states that no grants are in use; a reply to an earlier report must not
            // activate any.
            oldestValidReport = lastReportNumber;
        }
        return lastReportNumber;
    }

    /**
     * Renews the lease.
     *
     * @return false, without any change, if the reply is too late or a newer one has been applied
     */
    boolean renew(BudgetCommand.RenewalReply reply, long now) {
        long reportNumber = reply.reportNumber();
        Long reportCreatedAt = pendingReports.get(reportNumber);
        if (reportCreatedAt == null
                || reportNumber < oldestValidReport
                || reportNumber <= lastAppliedReport) {
            return false;
        }
        long leaseStartedAt =
                disabledSafeguards.contains(Safeguard.LEASE_TIMED_FROM_REQUEST)
                        ? now
                        : reportCreatedAt;
        if (now >= leaseStartedAt + usableNanos) {
            return false;
        }
        isActive = true;
        expiresAt = leaseStartedAt + usableNanos;
        grantVersion = reply.grantVersion();
        lastAppliedReport = reportNumber;
        pendingReports.headMap(reportNumber, true).clear();
        return true;
    }

    /** Ends the lease; replies to reports created before now no longer renew it. */
    void expire() {
        isActive = false;
        if (!disabledSafeguards.contains(Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY)) {
            oldestValidReport = lastReportNumber + 1;
        }
    }
}
