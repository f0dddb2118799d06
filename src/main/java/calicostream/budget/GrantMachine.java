// SPDX-License-Identifier: Apache-2.0
package calicostream.budget;

import calicostream.budget.GrantLedger.EngineBook;
import calicostream.budget.GrantLedger.Held;
import calicostream.budget.GrantLedger.Line;
import calicostream.budget.GrantLedger.ProcessBook;
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
public final class GrantMachine implements StateMachine {
    /** The name under which it is composed. */
    public static final String NAME = "budget";

    private final BudgetSettings settings;
    private final Set<Safeguard> out;
    private GrantLedger books;

    public GrantMachine(BudgetSettings settings) {
        this(settings, EnumSet.noneOf(Safeguard.class));
    }

    GrantMachine(BudgetSettings settings, Set<Safeguard> out) {
        this.settings = settings;
        this.out = out;
        this.books = new GrantLedger(settings);
    }

    GrantLedger books() {
        return books;
    }

    /** What this copy knows now; as of the call, and not to be kept over the next command. */
    public GrantView view() {
        return new GrantView(books);
    }

    /** The whole state, for an arbiter at a member that has no copy. */
    @Override
    public byte[] query(byte[] question) {
        return snapshot();
    }

    @Override
    public CommandEffects apply(long index, Command command) {
        books.index = index;
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
        } else if (command instanceof BudgetCommand.Divide divide) {
            return divide(divide);
        } else if (command instanceof BudgetCommand.Engine engine) {
            return engine(engine);
        } else if (command instanceof BudgetCommand.Gone gone) {
            present(gone.engine(), gone.incarnation());
            forget(gone.engine());
            books.engines.remove(gone.engine());
            books.past.put(gone.engine(), gone.incarnation());
            return CommandEffects.NONE;
        } else if (command instanceof BudgetCommand.Count count) {
            return count(count);
        }
        return expire(index, sender, (BudgetCommand.Expire) command);
    }

    private CommandEffects join(long session, BudgetCommand.Join join) {
        if (session == 0) {
            throw new BudgetException.Unknown("session of process", join.process());
        }
        ProcessBook known = bySession(session);
        if (known != null) {
            if (known != books.processes.get(join.process())) {
                throw new BudgetException.Unknown(
                        "process", join.process() + " under another's session " + session);
            }
            return CommandEffects.NONE;
        }
        ProcessBook process =
                books.processes.computeIfAbsent(join.process(), name -> new ProcessBook());
        if (session < process.session) {
            throw new BudgetException.GrantOver(join.process(), session);
        }
        if (process.session != 0) {
            process.held.forEach(
                    (engine, held) -> {
                        held.left =
                                out.contains(Safeguard.LEFT_RUNNING_COUNTS)
                                        ? 0
                                        : held.committed(books.floor(join.process(), engine));
                        held.used = 0;
                        held.forgetGrants();
                        held.lines.clear();
                    });
            // at engines that it never said anything of, it may have used its floor
            books.engines.keySet().stream()
                    .filter(engine -> !process.held.containsKey(engine))
                    .forEach(
                            engine ->
                                    process.held(engine).left =
                                            books.floor(join.process(), engine));
            process.hasFormer = true;
            process.formerExpiredAt = 0;
        }
        process.session = session;
        process.number = 0;
        process.version = 0;
        process.expiredAt = 0;
        return CommandEffects.NONE;
    }

    private CommandEffects leave(long session) {
        ProcessBook process = mine(session);
        process.held
                .values()
                .forEach(
                        held -> {
                            held.used = 0;
                            held.forgetGrants();
                            held.lines.clear();
                        });
        if (!process.hasFormer) {
            process.held.clear();
        }
        process.session = 0;
        return CommandEffects.response(new byte[0], settle());
    }

    private CommandEffects renew(long session, BudgetCommand.Renew renew) {
        ProcessBook process = mine(session);
        if (renew.number() <= process.number) {
            throw new BudgetException.OldReport(nameOf(process), renew.number(), process.number);
        }
        if (renew.version() > process.version || process.expiredAt != 0 && renew.version() != 0) {
            throw new BudgetException.GrantOver(
                    nameOf(process),
                    session); // sent before its grants were over: it must say that it knows
        }
        for (BudgetCommand.Want want : renew.wants()) {
            settings.tenant(want.tenant());
        }
        String sender = nameOf(process);
        Map<String, Integer> bounds = new TreeMap<>();
        process.number = renew.number();
        process.expiredAt = 0;
        process.held.forEach(
                (engine, held) -> {
                    bounds.put(
                            engine,
                            Math.max(
                                    Math.max(books.floor(sender, engine) - held.left, held.most()),
                                    held.used));
                    held.used = 0;
                    held.adopted(renew.version() == 0 ? process.version : renew.version());
                    held.lines.values().forEach(line -> line.wanted = 0);
                });
        for (BudgetCommand.Use use : renew.uses()) {
            if (isPresent(use.engine(), use.incarnation())) {
                Held held = process.held(use.engine());
                // a report that was long on its way may be older than what has been learned since
                held.used =
                        Math.min(
                                use.sessions(),
                                bounds.getOrDefault(use.engine(), Integer.MAX_VALUE));
                held.left =
                        Math.min(held.left, use.left()); // the engine told it: no connection of its
                // earlier starts is left there
            }
        }
        for (BudgetCommand.Want want : renew.wants()) {
            if (books.engines.containsKey(want.engine())) {
                process.held(want.engine())
                                .lines
                                .computeIfAbsent(want.tenant(), name -> new Line())
                                .wanted =
                        want.sessions();
            }
        }
        return CommandEffects.response(grants(process).encode(), settle());
    }

    private BudgetCommand.Grants grants(ProcessBook process) {
        List<BudgetCommand.Share> shares = new ArrayList<>();
        List<BudgetCommand.Use> left = new ArrayList<>();
        books.engines.forEach(
                (name, engine) -> {
                    Held held = process.held.get(name);
                    left.add(
                            new BudgetCommand.Use(
                                    name,
                                    engine.incarnation,
                                    held == null ? 0 : held.used,
                                    held == null ? 0 : held.left));
                    if (held != null) {
                        held.lines.forEach(
                                (tenant, line) -> {
                                    if (line.granted > 0) {
                                        shares.add(
                                                new BudgetCommand.Share(
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
        return new BudgetCommand.Grants(process.number, process.version, shares, left);
    }

    private CommandEffects divide(BudgetCommand.Divide divide) {
        if (divide.token() < books.token) {
            throw new BudgetException.OldToken(divide.token(), books.token);
        }
        Map<String, Map<String, Map<String, Integer>>> asked =
                new TreeMap<>(); // engine, process, tenant
        for (BudgetCommand.Share share : divide.shares()) {
            present(share.engine(), share.incarnation());
            settings.tenant(share.tenant());
            ProcessBook process = books.processes.get(share.process());
            if (process == null
                    || process.session != share.session()
                    || process.session == 0
                    || process.expiredAt != 0 && share.sessions() > 0) {
                throw new BudgetException.GrantOver(share.process(), share.session());
            }
            asked.computeIfAbsent(share.engine(), name -> new TreeMap<>())
                    .computeIfAbsent(share.process(), name -> new TreeMap<>())
                    .put(share.tenant(), share.sessions());
        }
        Map<String, Map<String, Integer>> sums = new TreeMap<>();
        asked.forEach((engine, processes) -> sums.put(engine, check(engine, processes)));
        books.token = divide.token();
        Set<ProcessBook> changed = new LinkedHashSet<>();
        asked.forEach(
                (engine, processes) ->
                        processes.forEach(
                                (name, tenants) -> {
                                    ProcessBook process = books.processes.get(name);
                                    if (changed.add(process)) {
                                        process.version++;
                                    }
                                    Held held = process.held(engine);
                                    tenants.forEach(
                                            (tenant, sessions) ->
                                                    held.lines.computeIfAbsent(
                                                                            tenant,
                                                                            key -> new Line())
                                                                    .granted =
                                                            sessions);
                                    held.granted(process.version, sums.get(engine).get(name));
                                    if (out.contains(Safeguard.LOWERED_COUNTS_UNTIL_KNOWN)) {
                                        held.adopted(process.version);
                                    }
                                }));
        return CommandEffects.NONE;
    }

    /** The new sums by process, if they fit. */
    private Map<String, Integer> check(String name, Map<String, Map<String, Integer>> processes) {
        Map<String, Integer> sums = new TreeMap<>();
        boolean raises = false;
        for (Map.Entry<String, Map<String, Integer>> each : processes.entrySet()) {
            Held held = books.processes.get(each.getKey()).held.get(name);
            long sum = held == null ? 0 : held.granted();
            long before = sum;
            for (Map.Entry<String, Integer> tenant : each.getValue().entrySet()) {
                Line line = held == null ? null : held.lines.get(tenant.getKey());
                sum += tenant.getValue() - (line == null ? 0 : line.granted);
            }
            raises |= sum > before;
            sums.put(each.getKey(), (int) Math.min(sum, 1_000_000));
        }
        EngineBook engine = books.engines.get(name);
        int now = books.committed(name);
        int then = books.committed(name, sums);
        if (raises && !out.contains(Safeguard.CAP_AT_APPLY)) {
            if (engine.target < engine.cap) {
                throw new BudgetException.CapLowered(name, engine.cap, engine.target, now);
            }
            if (then > engine.cap) {
                throw new BudgetException.OverCap(name, engine.incarnation, engine.cap, now, then);
            }
        }
        return sums;
    }

    private CommandEffects engine(BudgetCommand.Engine command) {
        BudgetSettings.Pool pool = settings.pool(command.pool());
        EngineBook known = books.engines.get(command.engine());
        long least =
                known != null
                        ? known.incarnation
                        : books.past.getOrDefault(command.engine(), 0L) + 1;
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
            known = new EngineBook();
            known.incarnation = command.incarnation();
            known.cap = command.cap();
            books.engines.put(command.engine(), known);
            books.past.remove(command.engine());
        }
        known.pool = command.pool();
        known.floor = pool.floor();
        known.target = command.cap();
        known.cap =
                out.contains(Safeguard.LOWERED_CAP_WAITS)
                        ? command.cap()
                        : Math.max(known.cap, command.cap());
        return CommandEffects.response(new byte[0], settle());
    }

    /** What ran at an engine ended with it. */
    private void forget(String engine) {
        books.processes.values().forEach(process -> process.held.remove(engine));
    }

    private CommandEffects count(BudgetCommand.Count count) {
        present(count.engine(), count.incarnation());
        ProcessBook process = books.processes.get(count.process());
        if (process == null || process.session != count.session()) {
            throw new BudgetException.GrantOver(count.process(), count.session());
        }
        long over = count.former() ? process.formerExpiredAt : process.expiredAt;
        if (over == 0 && !out.contains(Safeguard.GRANT_HELD_TO_EXPIRY)) {
            throw new BudgetException.NoProof(
                    count.engine(), count.session(), "its grants are not counted out");
        }
        if (count.seen() < over && !out.contains(Safeguard.PROOF_AFTER_EXPIRY)) {
            throw new BudgetException.NoProof(
                    count.engine(),
                    count.session(),
                    "asked at index " + count.seen() + ", over since " + over);
        }
        Held held = process.held(count.engine());
        boolean none = count.former() && count.closed() || out.contains(Safeguard.IN_HAND_COUNTS);
        int bound = count.running() + (none ? 0 : settings.inHand());
        if (count.former()) {
            held.left = Math.min(held.left, bound);
            process.hasFormer = process.held.values().stream().anyMatch(each -> each.left > 0);
        } else {
            held.used = Math.min(Math.max(held.used, held.most()), bound);
            held.forgetGrants();
        }
        return CommandEffects.response(new byte[0], settle());
    }

    private CommandEffects expire(long index, Command sender, BudgetCommand.Expire expire) {
        ProcessBook process = books.processes.get(expire.process());
        String why =
                !sender.isFromLeader() && !out.contains(Safeguard.GRANT_HELD_TO_EXPIRY)
                        ? "not counted by the leader"
                        : process == null || process.session != expire.session()
                                ? "another start of the process has joined"
                                : expire.former()
                                        ? process.formerExpiredAt != 0 ? "already over" : null
                                        : process.expiredAt != 0
                                                ? "already over"
                                                : process.number != expire.number()
                                                        ? "renewed since"
                                                        : null;
        if (why != null) {
            throw new BudgetException.NotDue(expire.session(), expire.number(), why);
        }
        if (expire.former()) {
            process.formerExpiredAt = index;
            return CommandEffects.NONE;
        }
        process.expiredAt = index;
        process.version++; // no answer given before counts as the present one
        process.held
                .values()
                .forEach(
                        held -> {
                            held.used =
                                    out.contains(Safeguard.LEFT_RUNNING_COUNTS)
                                            ? 0
                                            : Math.max(held.used, held.most());
                            held.forgetGrants();
                        });
        return CommandEffects.NONE;
    }

    /** Lowered caps come in force once no more than they may be in use. */
    private CommandEffects.Event[] settle() {
        List<CommandEffects.Event> events = new ArrayList<>();
        books.engines.forEach(
                (name, engine) -> {
                    if (engine.target < engine.cap && books.committed(name) <= engine.target) {
                        engine.cap = engine.target;
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
        EngineBook book = books.engines.get(engine);
        return book != null && book.incarnation == incarnation;
    }

    private void present(String engine, long incarnation) {
        if (!isPresent(engine, incarnation)) {
            EngineBook book = books.engines.get(engine);
            throw new BudgetException.OtherIncarnation(
                    engine, incarnation, book == null ? 0 : book.incarnation);
        }
    }

    private ProcessBook bySession(long session) {
        return session == 0
                ? null
                : books.processes.values().stream()
                        .filter(each -> each.session == session)
                        .findFirst()
                        .orElse(null);
    }

    private ProcessBook mine(long session) {
        ProcessBook process = bySession(session);
        if (process == null) {
            throw new BudgetException.GrantOver("a process", session);
        }
        return process;
    }

    private String nameOf(ProcessBook process) {
        return books.processes.entrySet().stream()
                .filter(each -> each.getValue() == process)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    @Override
    public byte[] snapshot() {
        return books.snapshot();
    }

    @Override
    public void restore(byte[] snapshot) {
        books = GrantLedger.restore(settings, snapshot);
    }
}
