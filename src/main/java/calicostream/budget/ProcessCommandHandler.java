// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Applies the commands of a process's life cycle to a {@link GrantLedger}: join, leave, renewal and
 * expiry of the lease. Each method makes all checks before its first change.
 */
final class ProcessCommandHandler {
    private final BudgetSettings settings;
    private final Set<Safeguard> disabledSafeguards;
    private final GrantLedger ledger;

    ProcessCommandHandler(
            BudgetSettings settings, Set<Safeguard> disabledSafeguards, GrantLedger ledger) {
        this.settings = settings;
        this.disabledSafeguards = disabledSafeguards;
        this.ledger = ledger;
    }

    void join(long session, BudgetCommand.Join join) {
        String name = join.process();
        if (session == 0) {
            throw new BudgetException.UnknownName("session of process", name);
        }
        ProcessEntry joinedProcess = ledger.processBySession(session);
        if (joinedProcess != null) {
            if (!joinedProcess.name().equals(name)) {
                throw new BudgetException.UnknownName(
                        "process", name + " under another's session " + session);
            }
            return;
        }
        ProcessEntry process = ledger.processes().get(name);
        if (process == null) {
            process = ledger.addProcess(name);
        }
        if (session < process.session()) {
            throw new BudgetException.GrantExpired(name, session);
        }
        if (process.hasSession()) {
            orphanSessions(process);
        }
        process.beginSession(session);
    }

    /**
     * A new incarnation replaces the current one, whose sessions may still run and are counted as
     * orphaned.
     */
    private void orphanSessions(ProcessEntry process) {
        String name = process.name();
        boolean isCounted = !disabledSafeguards.contains(Safeguard.ORPHANED_SESSIONS_COUNT);
        process.allocations()
                .forEach(
                        (engine, allocation) ->
                                allocation.orphan(
                                        isCounted
                                                ? allocation.committed(ledger.floor(name, engine))
                                                : 0));
        // At an engine without an allocation the process may have used its floor.
        for (String engine : ledger.engines().keySet()) {
            if (!process.allocations().containsKey(engine)) {
                process.allocation(engine).orphan(ledger.floor(name, engine));
            }
        }
        process.becomePredecessor();
    }

    void leave(long session) {
        ledger.requireProcess(session).endSession();
    }

    BudgetCommand.RenewalReply renew(long session, BudgetCommand.Renew renew) {
        ProcessEntry process = ledger.requireProcess(session);
        checkRenewal(process, session, renew);
        process.renew(renew.reportNumber());
        recordUsages(process, renew);
        for (BudgetCommand.TenantDemand demand : renew.demands()) {
            if (ledger.engines().containsKey(demand.engine())) {
                process.allocation(demand.engine())
                        .tenant(demand.tenant())
                        .setDemand(demand.sessions());
            }
        }
        return reply(process);
    }

    private void checkRenewal(ProcessEntry process, long session, BudgetCommand.Renew renew) {
        if (renew.reportNumber() <= process.reportNumber()) {
            throw new BudgetException.StaleReport(
                    process.name(), renew.reportNumber(), process.reportNumber());
        }
        // After an expiry the process must first report version 0, which states that it uses no
        // grants.
        boolean usesExpiredGrants = process.isExpired() && renew.grantVersion() != 0;
        if (renew.grantVersion() > process.grantVersion() || usesExpiredGrants) {
            throw new BudgetException.GrantExpired(process.name(), session);
        }
        for (BudgetCommand.TenantDemand demand : renew.demands()) {
            settings.tenantIndex(demand.tenant());
        }
    }

    private void recordUsages(ProcessEntry process, BudgetCommand.Renew renew) {
        long acknowledged =
                renew.grantVersion() == 0 ? process.grantVersion() : renew.grantVersion();
        Map<String, Integer> maxReportable = new TreeMap<>();
        process.allocations()
                .forEach(
                        (engine, allocation) -> {
                            int floor = ledger.floor(process.name(), engine);
                            maxReportable.put(engine, allocation.maxReportable(floor));
                            allocation.clearReport(acknowledged);
                        });
        for (BudgetCommand.EngineUsage usage : renew.usages()) {
            String engine = usage.engine();
            if (ledger.isPresent(engine, usage.incarnation())) {
                // A delayed report may state more than the bound that has been established since.
                int maxSessions = maxReportable.getOrDefault(engine, Integer.MAX_VALUE);
                process.allocation(engine)
                        .recordUsage(Math.min(usage.sessions(), maxSessions), usage.orphaned());
            }
        }
    }

    private BudgetCommand.RenewalReply reply(ProcessEntry process) {
        List<BudgetCommand.Grant> grants = new ArrayList<>();
        List<BudgetCommand.EngineUsage> usages = new ArrayList<>();
        ledger.engines()
                .forEach(
                        (name, engine) -> {
                            EngineAllocation allocation = process.allocations().get(name);
                            if (allocation == null) {
                                usages.add(
                                        new BudgetCommand.EngineUsage(
                                                name, engine.incarnation(), 0, 0));
                                return;
                            }
                            usages.add(
                                    new BudgetCommand.EngineUsage(
                                            name,
                                            engine.incarnation(),
                                            allocation.inUse(),
                                            allocation.orphaned()));
                            addGrants(grants, process.session(), name, engine, allocation);
                        });
        return new BudgetCommand.RenewalReply(
                process.reportNumber(), process.grantVersion(), grants, usages);
    }

    private static void addGrants(
            List<BudgetCommand.Grant> grants,
            long session,
            String engineName,
            EngineEntry engine,
            EngineAllocation allocation) {
        allocation
                .tenants()
                .forEach(
                        (tenant, tenantAllocation) -> {
                            if (tenantAllocation.granted() > 0) {
                                grants.add(
                                        new BudgetCommand.Grant(
                                                "",
                                                session,
                                                engineName,
                                                engine.incarnation(),
                                                tenant,
                                                tenantAllocation.granted()));
                            }
                        });
    }

    void expire(long index, boolean isByLeader, BudgetCommand.Expire expire) {
        ProcessEntry process = ledger.processes().get(expire.process());
        String rejectionReason = rejectionReason(expire, process, isByLeader);
        if (rejectionReason != null) {
            throw new BudgetException.ExpiryNotDue(
                    expire.session(), expire.reportNumber(), rejectionReason);
        }
        if (expire.forPredecessors()) {
            process.expirePredecessors(index);
            return;
        }
        process.expire(index);
        int bound =
                disabledSafeguards.contains(Safeguard.ORPHANED_SESSIONS_COUNT)
                        ? 0
                        : Integer.MAX_VALUE;
        process.allocations()
                .values()
                .forEach(allocation -> allocation.revokeWithUsageAtMost(bound));
    }

    /** Why the command must not expire the grants; null if it may. */
    private String rejectionReason(
            BudgetCommand.Expire expire, ProcessEntry process, boolean isByLeader) {
        if (!isByLeader && !disabledSafeguards.contains(Safeguard.GRANT_HELD_TO_EXPIRY)) {
            return "not counted by the leader";
        }
        if (process == null || process.session() != expire.session()) {
            return "another start of the process has joined";
        }
        if (expire.forPredecessors()) {
            return process.predecessorsExpiredAtIndex() != 0 ? "already over" : null;
        }
        if (process.isExpired()) {
            return "already over";
        }
        return process.reportNumber() != expire.reportNumber() ? "renewed since" : null;
    }
}
