// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.budget.GrantLedger.EngineAllocation;
import calicostream.budget.GrantLedger.EngineEntry;
import calicostream.budget.GrantLedger.ProcessEntry;
import calicostream.budget.GrantLedger.TenantAllocation;
import calicostream.cluster.BinaryCodec;
import calicostream.cluster.ClusterException;
import calicostream.cluster.Command;
import calicostream.cluster.CommandEffects;
import calicostream.cluster.StateMachine;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who may use how many sessions where. Every copy applies the same commands; a command after which
 * more sessions could be in use at an engine than its cap is refused here, whoever sent it. What
 * may be in use at an engine is, for each process, the largest of: its floor; what it said is in
 * use; the largest sum granted to it that it may still go by; each with what its earlier starts may
 * have left running. That falls only by the process's own word, by the engine's own count taken
 * after the leader has counted the grants out, or with the engine's incarnation.
 */
public final class GrantStateMachine implements StateMachine {
    /** The name under which it is composed. */
    public static final String NAME = "budget";

    private final BudgetSettings settings;
    private final Set<Safeguard> out;
    private GrantLedger ledger;

    public GrantStateMachine(BudgetSettings settings) {
        this(settings, EnumSet.noneOf(Safeguard.class));
    }

    GrantStateMachine(BudgetSettings settings, Set<Safeguard> out) {
        this.settings = settings;
        this.out = out;
        this.ledger = new GrantLedger(settings);
    }

    GrantLedger ledger() {
        return ledger;
    }

    /** What this copy knows now; as of the call, and not to be kept over the next command. */
    public GrantView view() {
        return new GrantView(ledger);
    }

    /** The whole state, for an arbiter at a member that has no copy. */
    @Override
    public byte[] query(byte[] question) {
        return snapshot();
    }

    @Override
    public CommandEffects apply(long index, Command command) {
        ledger.appliedIndex = index;
        try {
            return apply(index, command, BudgetCommand.decode(command.body()));
        } catch (BudgetException refused) { // every check comes before the first change
            return CommandEffects.rejected(
                    refused.code(),
                    new BinaryCodec.Writer().text(refused.getMessage()).toByteArray());
        } catch (ClusterException.Malformed malformed) {
            return CommandEffects.rejected(
                    malformed.code(),
                    new BinaryCodec.Writer().text(malformed.getMessage()).toByteArray());
        }
    }

    private CommandEffects apply(long index, Command sender, BudgetCommand command) {
        if (command instanceof BudgetCommand.Join join) {
            return join(sender.session(), join);
        } else if (command instanceof BudgetCommand.Leave) {
            return leave(sender.session());
        } else if (command instanceof BudgetCommand.Renew renew) {
            return renew(sender.session(), renew);
        } else if (command instanceof BudgetCommand.Allocate divide) {
            return divide(divide);
        } else if (command instanceof BudgetCommand.UpdateEngine engine) {
            return engine(engine);
        } else if (command instanceof BudgetCommand.RemoveEngine gone) {
            present(gone.engine(), gone.incarnation());
            forget(gone.engine());
            ledger.engines.remove(gone.engine());
            ledger.removedEngines.put(gone.engine(), gone.incarnation());
            return CommandEffects.NONE;
        } else if (command instanceof BudgetCommand.EngineCount count) {
            return count(count);
        }
        return expire(index, sender, (BudgetCommand.Expire) command);
    }

    private CommandEffects join(long session, BudgetCommand.Join join) {
        if (session == 0) {
            throw new BudgetException.Unknown("session of process", join.process());
        }
        ProcessEntry known = bySession(session);
        if (known != null) {
            if (known != ledger.processes.get(join.process())) {
                throw new BudgetException.Unknown(
                        "process", join.process() + " under another's session " + session);
            }
            return CommandEffects.NONE;
        }
        ProcessEntry process =
                ledger.processes.computeIfAbsent(join.process(), name -> new ProcessEntry());
        if (session < process.session) {
            throw new BudgetException.GrantOver(join.process(), session);
        }
        if (process.session != 0) {
            process.allocations.forEach(
                    (engine, held) -> {
                        held.orphaned =
                                out.contains(Safeguard.ORPHANED_SESSIONS_COUNT)
                                        ? 0
                                        : held.committed(ledger.floor(join.process(), engine));
                        held.inUse = 0;
                        held.revokeGrants();
                        held.tenants.clear();
                    });
            // at engines that it never said anything of, it may have used its floor
            ledger.engines.keySet().stream()
                    .filter(engine -> !process.allocations.containsKey(engine))
                    .forEach(
                            engine ->
                                    process.allocations(engine).orphaned =
                                            ledger.floor(join.process(), engine));
            process.hasPredecessors = true;
            process.predecessorsExpiredAtIndex = 0;
        }
        process.session = session;
        process.reportNumber = 0;
        process.grantVersion = 0;
        process.expiredAtIndex = 0;
        return CommandEffects.NONE;
    }

    private CommandEffects leave(long session) {
        ProcessEntry process = mine(session);
        process.allocations
                .values()
                .forEach(
                        held -> {
                            held.inUse = 0;
                            held.revokeGrants();
                            held.tenants.clear();
                        });
        if (!process.hasPredecessors) {
            process.allocations.clear();
        }
        process.session = 0;
        return CommandEffects.response(new byte[0], settle());
    }

    private CommandEffects renew(long session, BudgetCommand.Renew renew) {
        ProcessEntry process = mine(session);
        if (renew.reportNumber() <= process.reportNumber) {
            throw new BudgetException.OldReport(
                    nameOf(process), renew.reportNumber(), process.reportNumber);
        }
        if (renew.grantVersion() > process.grantVersion
                || process.expiredAtIndex != 0 && renew.grantVersion() != 0) {
            throw new BudgetException.GrantOver(
                    nameOf(process),
                    session); // sent before its grants were over: it must say that it knows
        }
        for (BudgetCommand.TenantDemand want : renew.demands()) {
            settings.tenantIndex(want.tenant());
        }
        String sender = nameOf(process);
        Map<String, Integer> bounds = new TreeMap<>();
        process.reportNumber = renew.reportNumber();
        process.expiredAtIndex = 0;
        process.allocations.forEach(
                (engine, held) -> {
                    bounds.put(
                            engine,
                            Math.max(
                                    Math.max(
                                            ledger.floor(sender, engine) - held.orphaned,
                                            held.maxUsableSum()),
                                    held.inUse));
                    held.inUse = 0;
                    held.acknowledge(
                            renew.grantVersion() == 0
                                    ? process.grantVersion
                                    : renew.grantVersion());
                    held.tenants.values().forEach(line -> line.demand = 0);
                });
        for (BudgetCommand.EngineUsage use : renew.usages()) {
            if (isPresent(use.engine(), use.incarnation())) {
                EngineAllocation held = process.allocations(use.engine());
                // a report that was long on its way may be older than what has been learned since
                held.inUse =
                        Math.min(
                                use.sessions(),
                                bounds.getOrDefault(use.engine(), Integer.MAX_VALUE));
                held.orphaned =
                        Math.min(
                                held.orphaned,
                                use.orphaned()); // the engine told it: no connection of its
                // earlier starts is left there
            }
        }
        for (BudgetCommand.TenantDemand want : renew.demands()) {
            if (ledger.engines.containsKey(want.engine())) {
                process.allocations(want.engine())
                                .tenants
                                .computeIfAbsent(want.tenant(), name -> new TenantAllocation())
                                .demand =
                        want.sessions();
            }
        }
        return CommandEffects.response(grants(process).encode(), settle());
    }

    private BudgetCommand.RenewalReply grants(ProcessEntry process) {
        List<BudgetCommand.Grant> shares = new ArrayList<>();
        List<BudgetCommand.EngineUsage> left = new ArrayList<>();
        ledger.engines.forEach(
                (name, engine) -> {
                    EngineAllocation held = process.allocations.get(name);
                    left.add(
                            new BudgetCommand.EngineUsage(
                                    name,
                                    engine.incarnation,
                                    held == null ? 0 : held.inUse,
                                    held == null ? 0 : held.orphaned));
                    if (held != null) {
                        held.tenants.forEach(
                                (tenant, line) -> {
                                    if (line.granted > 0) {
                                        shares.add(
                                                new BudgetCommand.Grant(
                                                        "",
                                                        process.session,
                                                        name,
                                                        engine.incarnation,
                                                        tenant,
                                                        line.granted));
                                    }
                                });
                    }
                });
        return new BudgetCommand.RenewalReply(
                process.reportNumber, process.grantVersion, shares, left);
    }

    private CommandEffects divide(BudgetCommand.Allocate divide) {
        if (divide.fencingToken() < ledger.fencingToken) {
            throw new BudgetException.OldToken(divide.fencingToken(), ledger.fencingToken);
        }
        Map<String, Map<String, Map<String, Integer>>> asked =
                new TreeMap<>(); // engine, process, tenant
        for (BudgetCommand.Grant share : divide.grants()) {
            present(share.engine(), share.incarnation());
            settings.tenantIndex(share.tenant());
            ProcessEntry process = ledger.processes.get(share.process());
            if (process == null
                    || process.session != share.session()
                    || process.session == 0
                    || process.expiredAtIndex != 0 && share.sessions() > 0) {
                throw new BudgetException.GrantOver(share.process(), share.session());
            }
            asked.computeIfAbsent(share.engine(), name -> new TreeMap<>())
                    .computeIfAbsent(share.process(), name -> new TreeMap<>())
                    .put(share.tenant(), share.sessions());
        }
        Map<String, Map<String, Integer>> sums = new TreeMap<>();
        asked.forEach((engine, processes) -> sums.put(engine, check(engine, processes)));
        ledger.fencingToken = divide.fencingToken();
        Set<ProcessEntry> changed = new LinkedHashSet<>();
        asked.forEach(
                (engine, processes) ->
                        processes.forEach(
                                (name, tenants) -> {
                                    ProcessEntry process = ledger.processes.get(name);
                                    if (changed.add(process)) {
                                        process.grantVersion++;
                                    }
                                    EngineAllocation held = process.allocations(engine);
                                    tenants.forEach(
                                            (tenant, sessions) ->
                                                    held.tenants.computeIfAbsent(
                                                                            tenant,
                                                                            key ->
                                                                                    new TenantAllocation())
                                                                    .granted =
                                                            sessions);
                                    held.granted(process.grantVersion, sums.get(engine).get(name));
                                    if (out.contains(
                                            Safeguard.LOWERED_GRANT_COUNTS_UNTIL_ACKNOWLEDGED)) {
                                        held.acknowledge(process.grantVersion);
                                    }
                                }));
        return CommandEffects.NONE;
    }

    /** The new sums by process, if they fit. */
    private Map<String, Integer> check(String name, Map<String, Map<String, Integer>> processes) {
        Map<String, Integer> sums = new TreeMap<>();
        boolean raises = false;
        for (Map.Entry<String, Map<String, Integer>> each : processes.entrySet()) {
            EngineAllocation held = ledger.processes.get(each.getKey()).allocations.get(name);
            long sum = held == null ? 0 : held.granted();
            long before = sum;
            for (Map.Entry<String, Integer> tenant : each.getValue().entrySet()) {
                TenantAllocation line = held == null ? null : held.tenants.get(tenant.getKey());
                sum += tenant.getValue() - (line == null ? 0 : line.granted);
            }
            raises |= sum > before;
            sums.put(each.getKey(), (int) Math.min(sum, 1_000_000));
        }
        EngineEntry engine = ledger.engines.get(name);
        int now = ledger.committed(name);
        int then = ledger.committed(name, sums);
        if (raises && !out.contains(Safeguard.CAP_CHECKED_AT_APPLY)) {
            if (engine.requestedCap < engine.cap) {
                throw new BudgetException.CapLowered(name, engine.cap, engine.requestedCap, now);
            }
            if (then > engine.cap) {
                throw new BudgetException.OverCap(name, engine.incarnation, engine.cap, now, then);
            }
        }
        return sums;
    }

    private CommandEffects engine(BudgetCommand.UpdateEngine command) {
        BudgetSettings.Pool pool = settings.pool(command.pool());
        EngineEntry known = ledger.engines.get(command.engine());
        long least =
                known != null
                        ? known.incarnation
                        : ledger.removedEngines.getOrDefault(command.engine(), 0L) + 1;
        if (command.incarnation() < least) {
            throw new BudgetException.OtherIncarnation(
                    command.engine(), command.incarnation(), least);
        }
        long floors = (long) pool.floor() * settings.processes().size();
        if (floors > command.cap()) {
            throw new BudgetException.FloorsOverCap(command.engine(), command.cap(), floors);
        }
        if (known == null || command.incarnation() > known.incarnation) {
            forget(command.engine());
            known = new EngineEntry();
            known.incarnation = command.incarnation();
            known.cap = command.cap();
            ledger.engines.put(command.engine(), known);
            ledger.removedEngines.remove(command.engine());
        }
        known.pool = command.pool();
        known.floor = pool.floor();
        known.requestedCap = command.cap();
        known.cap =
                out.contains(Safeguard.LOWERED_CAP_IS_DEFERRED)
                        ? command.cap()
                        : Math.max(known.cap, command.cap());
        return CommandEffects.response(new byte[0], settle());
    }

    /** What ran at an engine ended with it. */
    private void forget(String engine) {
        ledger.processes.values().forEach(process -> process.allocations.remove(engine));
    }

    private CommandEffects count(BudgetCommand.EngineCount count) {
        present(count.engine(), count.incarnation());
        ProcessEntry process = ledger.processes.get(count.process());
        if (process == null || process.session != count.session()) {
            throw new BudgetException.GrantOver(count.process(), count.session());
        }
        long over =
                count.ofPredecessors()
                        ? process.predecessorsExpiredAtIndex
                        : process.expiredAtIndex;
        if (over == 0 && !out.contains(Safeguard.GRANT_HELD_TO_EXPIRY)) {
            throw new BudgetException.NoProof(
                    count.engine(), count.session(), "its grants are not counted out");
        }
        if (count.knownIndex() < over && !out.contains(Safeguard.PROOF_AFTER_EXPIRY)) {
            throw new BudgetException.NoProof(
                    count.engine(),
                    count.session(),
                    "asked at index " + count.knownIndex() + ", over since " + over);
        }
        EngineAllocation held = process.allocations(count.engine());
        boolean none =
                count.ofPredecessors() && count.allConnectionsClosed()
                        || out.contains(Safeguard.UNACKNOWLEDGED_COUNTS);
        int bound = count.running() + (none ? 0 : settings.maxUnacknowledged());
        if (count.ofPredecessors()) {
            held.orphaned = Math.min(held.orphaned, bound);
            process.hasPredecessors =
                    process.allocations.values().stream().anyMatch(each -> each.orphaned > 0);
        } else {
            held.inUse = Math.min(Math.max(held.inUse, held.maxUsableSum()), bound);
            held.revokeGrants();
        }
        return CommandEffects.response(new byte[0], settle());
    }

    private CommandEffects expire(long index, Command sender, BudgetCommand.Expire expire) {
        ProcessEntry process = ledger.processes.get(expire.process());
        String why =
                !sender.isFromLeader() && !out.contains(Safeguard.GRANT_HELD_TO_EXPIRY)
                        ? "not counted by the leader"
                        : process == null || process.session != expire.session()
                                ? "another start of the process has joined"
                                : expire.ofPredecessors()
                                        ? process.predecessorsExpiredAtIndex != 0
                                                ? "already over"
                                                : null
                                        : process.expiredAtIndex != 0
                                                ? "already over"
                                                : process.reportNumber != expire.reportNumber()
                                                        ? "renewed since"
                                                        : null;
        if (why != null) {
            throw new BudgetException.NotDue(expire.session(), expire.reportNumber(), why);
        }
        if (expire.ofPredecessors()) {
            process.predecessorsExpiredAtIndex = index;
            return CommandEffects.NONE;
        }
        process.expiredAtIndex = index;
        process.grantVersion++; // no answer given before counts as the present one
        process.allocations
                .values()
                .forEach(
                        held -> {
                            held.inUse =
                                    out.contains(Safeguard.ORPHANED_SESSIONS_COUNT)
                                            ? 0
                                            : Math.max(held.inUse, held.maxUsableSum());
                            held.revokeGrants();
                        });
        return CommandEffects.NONE;
    }

    /** Lowered caps come in force once no more than they may be in use. */
    private CommandEffects.Event[] settle() {
        List<CommandEffects.Event> events = new ArrayList<>();
        ledger.engines.forEach(
                (name, engine) -> {
                    if (engine.requestedCap < engine.cap
                            && ledger.committed(name) <= engine.requestedCap) {
                        engine.cap = engine.requestedCap;
                        events.add(
                                new CommandEffects.Event(
                                        "budget-cap-in-force",
                                        new BinaryCodec.Writer()
                                                .text(name)
                                                .i64(engine.incarnation)
                                                .i32(engine.cap)
                                                .toByteArray()));
                    }
                });
        return events.toArray(CommandEffects.Event[]::new);
    }

    private boolean isPresent(String engine, long incarnation) {
        EngineEntry book = ledger.engines.get(engine);
        return book != null && book.incarnation == incarnation;
    }

    private void present(String engine, long incarnation) {
        if (!isPresent(engine, incarnation)) {
            EngineEntry book = ledger.engines.get(engine);
            throw new BudgetException.OtherIncarnation(
                    engine, incarnation, book == null ? 0 : book.incarnation);
        }
    }

    private ProcessEntry bySession(long session) {
        return session == 0
                ? null
                : ledger.processes.values().stream()
                        .filter(each -> each.session == session)
                        .findFirst()
                        .orElse(null);
    }

    private ProcessEntry mine(long session) {
        ProcessEntry process = bySession(session);
        if (process == null) {
            throw new BudgetException.GrantOver("a process", session);
        }
        return process;
    }

    private String nameOf(ProcessEntry process) {
        return ledger.processes.entrySet().stream()
                .filter(each -> each.getValue() == process)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    @Override
    public byte[] snapshot() {
        return ledger.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        ledger = GrantLedger.restore(settings, snapshot);
    }
}
