// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.Set;
import java.util.TreeMap;

/**
 * The lease of a process's grants, as the process sees it: reports and replies by number, and until
 * when the grants may be used. Not thread-safe; reads no clock: times are nanoseconds of the
 * process's monotonic clock.
 *
 * <p>A renewal counts from when its report was made, which is before the leader starts to count, so
 * the lease ends here first.
 */
final class GrantLease {
    /** Reports whose replies are still expected; older ones are given up. */
    private static final int MAX_PENDING_REPORTS = 64;

    private final long usableNanos;
    private final Set<Safeguard> disabledSafeguards;

    /** By report number: when it was made. */
    private final TreeMap<Long, Long> pendingReports = new TreeMap<>();

    private boolean isActive;
    private long expiresAt;
    private long lastReport;
    private long lastApplied;
    private long oldestValid;
    private long grantVersion;

    GrantLease(BudgetSettings settings, Set<Safeguard> disabledSafeguards) {
        this.usableNanos = settings.usableNanos();
        this.disabledSafeguards = disabledSafeguards;
    }

    /** Whether the grants may be used, as of the last call with a time. */
    boolean isActive() {
        return isActive;
    }

    /**
     * Whether the lease was active and its time is over; the owner is to {@link #expire} it then.
     */
    boolean isOver(long now) {
        return isActive && now >= expiresAt;
    }

    /** The version of the grants that are used; 0 if none are. */
    long usedVersion() {
        return isActive ? grantVersion : 0;
    }

    /**
     * Starts a report.
     *
     * @return its number
     */
    long beginReport(long now) {
        lastReport++;
        pendingReports.put(lastReport, now);
        if (pendingReports.size() > MAX_PENDING_REPORTS) {
            pendingReports.pollFirstEntry();
        }
        if (!isActive && !disabledSafeguards.contains(Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY)) {
            // This report says that no grants are used: no earlier reply may make that untrue.
            oldestValid = lastReport;
        }
        return lastReport;
    }

    /**
     * Renews the lease by a reply.
     *
     * @return false if the reply is late or older than one before; nothing has changed then
     */
    boolean renew(BudgetCommand.RenewalReply reply, long now) {
        long number = reply.reportNumber();
        Long reportedAt = pendingReports.get(number);
        if (reportedAt == null || number < oldestValid || number <= lastApplied) {
            return false;
        }
        long from =
                disabledSafeguards.contains(Safeguard.LEASE_TIMED_FROM_REQUEST) ? now : reportedAt;
        if (now >= from + usableNanos) {
            return false;
        }
        isActive = true;
        expiresAt = from + usableNanos;
        grantVersion = reply.grantVersion();
        lastApplied = number;
        pendingReports.headMap(number, true).clear();
        return true;
    }

    /** The grants must not be used any more, nor may any reply to a report from before now. */
    void expire() {
        isActive = false;
        if (!disabledSafeguards.contains(Safeguard.NO_REPLY_FROM_BEFORE_EXPIRY)) {
            oldestValid = lastReport + 1;
        }
    }
}
