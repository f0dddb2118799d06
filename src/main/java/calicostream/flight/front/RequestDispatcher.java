// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.core.FinalStatus;
import calicostream.core.Gateway;
import calicostream.core.IncomingRequest;
import calicostream.core.RequestResult;
import calicostream.core.ResponseHandler;
import calicostream.core.ResultStreamHandle;
import calicostream.core.SlotTable;
import calicostream.flight.FlightConfig;
import calicostream.flight.engine.FlightEngineClient;
import calicostream.flight.state.Admission;
import calicostream.flight.state.EngineConnection;
import calicostream.flight.state.FlightSessions;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightWire;
import calicostream.net.SelectorLoop;
import calicostream.routing.Idempotency;
import calicostream.routing.QueryClass;
import calicostream.routing.SettingsParser;
import calicostream.sql.TableGroupScanner;
import io.grpc.Metadata;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Where the parts of the front hand requests to the core, and get their answers. The loop's. */
final class RequestDispatcher implements ResponseHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

    /**
     * A request without an answer.
     *
     * @param caller the call that the request is counted for, or null for none
     * @param call the call that the answer is for; null where the request outlives its call
     */
    private record PendingAnswer(
            ServerCall<?> caller, ServerCall<?> call, ResponseCallback callback) {
        /** Passes an answer on; a failure in doing so is the answer. */
        void deliver(Consumer<ResponseCallback> answer) {
            if (call != null) {
                call.run(() -> answer.accept(callback));
                return;
            }
            try {
                answer.accept(callback);
            } catch (RuntimeException | Error e) {
                // Answered first: logging may fail by the same Error.
                callback.failed(FailureReason.ENGINE);
                LOG.error("an answer could not be passed on", e);
            }
        }
    }

    private static final int NAME_BYTES = 16;
    final SelectorLoop loop;
    final Gateway gateway;
    final FlightConfig config;
    final Admission admission;
    final FlightEngineClient engines; // null: engines are reached by another protocol
    private final List<String> classNames;
    private final List<QueryClass> classes;
    private final long mostWaitMs;
    private final SlotTable<PendingAnswer> pending = new SlotTable<>();
    private final SecureRandom random = new SecureRandom();
    private final ByteBuffer unused = ByteBuffer.allocate(256 * NAME_BYTES).limit(0);

    RequestDispatcher(
            SelectorLoop loop,
            Gateway gateway,
            FlightConfig config,
            SettingsParser settings,
            Admission admission,
            FlightEngineClient engines) {
        this.loop = loop;
        this.gateway = gateway;
        this.config = config;
        this.admission = admission;
        this.engines = engines;
        classNames = settings.classNames();
        classes = settings.settings().classes();
        mostWaitMs = settings.connectionSettings().maxRetryAfterUs() / 1000;
    }

    long now() {
        return loop.clock().now();
    }

    long mostWaitMs() {
        return mostWaitMs;
    }

    List<String> classNames() {
        return classNames;
    }

    /** A name beyond guessing. */
    String name() {
        if (!unused
                .hasRemaining()) { // Each draw from the system costs as much as the call it is for.
            random.nextBytes(unused.array());
            unused.clear();
        }
        byte[] bytes = new byte[NAME_BYTES];
        unused.get(bytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    /**
     * The index of a class by the call's header, the session's option, or this name; below 0: there
     * is none.
     */
    int classOf(ServerCall<?> call, String noted, String without) {
        String session = call.session == null ? null : call.session.text(FlightSessions.CLASS);
        String name =
                call.caller.queryClass != null
                        ? call.caller.queryClass
                        : noted != null ? noted : session != null ? session : without;
        return classNames.indexOf(name);
    }

    QueryClass spec(int queryClass) {
        return classes.get(queryClass);
    }

    int metadataClass() {
        return classNames.indexOf(config.metadataClass());
    }

    /** What goes with a call's work to the engine. */
    Metadata headers(ServerCall<?> call) {
        Metadata out = new Metadata();
        if (call != null && config.passTokens() && call.caller.authorization != null) {
            out.put(FlightWire.AUTHORIZATION, call.caller.authorization);
        }
        if (call != null && call.session != null) {
            call.session
                    .options()
                    .forEach(
                            (option, value) -> {
                                switch (option) {
                                    case FlightSessions.CATALOG:
                                        out.put(FlightWire.CATALOG, ascii(value));
                                        break;
                                    case FlightSessions.SCHEMA:
                                        out.put(FlightWire.SCHEMA, ascii(value));
                                        break;
                                    case FlightSessions.PRIORITY:
                                        out.put(FlightWire.PRIORITY, ascii(value));
                                        break;
                                    default:
                                        break;
                                }
                            });
        }
        return out;
    }

    private static String ascii(Object value) {
        return java.net.URLEncoder.encode(value.toString(), StandardCharsets.UTF_8);
    }

    /**
     * A request of a call: it goes with the call's time, and is given up when the client leaves.
     */
    Submitted submit(
            ServerCall<?> call,
            int queryClass,
            String sql,
            EngineOperation work,
            EngineConnection pinned,
            ResponseCallback reply) {
        return submit(call, queryClass, spec(queryClass).deadlineUs(), sql, work, pinned, reply);
    }

    Submitted submit(
            ServerCall<?> call,
            int queryClass,
            long mostUs,
            String sql,
            EngineOperation work,
            EngineConnection pinned,
            ResponseCallback reply) {
        long budget = CallContext.left(call.deadline, mostUs);
        if (budget <= 0) {
            reply.failed(FailureReason.DEADLINE);
            return new Submitted(0, 0);
        }
        if (mayHaveRunBefore(call.caller.requestId, queryClass, pinned)) {
            reply.failed(FailureReason.ENGINE);
            return new Submitted(0, 0);
        }
        String id = call.caller.requestId;
        Submitted out =
                accept(
                        new PendingAnswer(call, call, reply),
                        id != null ? id : newRequestId(),
                        incoming(queryClass, budget, sql),
                        new EngineOperation.Job(work, headers(call), pinned));
        call.atEnd(out::abandon);
        return out;
    }

    /** See {@link Gateway#mayHaveRunBefore}; a name may serve for several queries. */
    private boolean mayHaveRunBefore(String named, int queryClass, EngineConnection pinned) {
        return named != null
                && pinned.engine() == 0
                && spec(queryClass).idempotency() != Idempotency.IDEMPOTENT
                && gateway.mayHaveRunBefore(named);
    }

    /** A request that outlives the call it came from, and is counted for that call's user. */
    Submitted submitDetached(
            ServerCall<?> caller,
            int queryClass,
            String sql,
            EngineOperation work,
            ResponseCallback reply) {
        return accept(
                new PendingAnswer(caller, null, reply),
                newRequestId(),
                incoming(queryClass, spec(queryClass).deadlineUs(), sql),
                new EngineOperation.Job(work, headers(caller), EngineConnection.ANY));
    }

    /** A request whose answer serves many calls, and which is counted for no user. */
    Submitted submitShared(
            Metadata headers, int queryClass, EngineOperation work, ResponseCallback reply) {
        return accept(
                new PendingAnswer(null, null, reply),
                newRequestId(),
                incoming(queryClass, spec(queryClass).deadlineUs(), ""),
                new EngineOperation.Job(work, headers, EngineConnection.ANY));
    }

    private static String newRequestId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    private record Incoming(int queryClass, long budgetUs, byte[] text) {}

    private static Incoming incoming(int queryClass, long budgetUs, String sql) {
        return new Incoming(queryClass, budgetUs, sql.getBytes(StandardCharsets.UTF_8));
    }

    private Submitted accept(
            PendingAnswer answer, String id, Incoming request, EngineOperation.Job job) {
        int group = Math.max(0, TableGroupScanner.tableGroup(request.text));
        long tag = pending.add(answer);
        long handle =
                gateway.accept(
                        IncomingRequest.of(
                                        this,
                                        tag,
                                        id,
                                        request.queryClass,
                                        group,
                                        request.budgetUs,
                                        request.text)
                                .withOperation(job, job.connection().engine()));
        return new Submitted(tag, handle);
    }

    /** A request in the core's hands. */
    final class Submitted {
        private final long tag;
        private final long handle;

        private Submitted(long tag, long handle) {
            this.tag = tag;
            this.handle = handle;
        }

        /** Gives it up, if it has no answer yet. */
        void abandon() {
            PendingAnswer unanswered = pending.remove(tag);
            if (unanswered != null) {
                gateway.abandon(handle);
                unanswered.callback.left();
            }
        }
    }

    int open() {
        return pending.size();
    }

    // ---- Whose a request is
    // ----------------------------------------------------------------------------
    @Override
    public String login(long tag) {
        ServerCall<?> call = callerOf(tag);
        return call != null && !call.owner.isEmpty() ? call.owner : null;
    }

    @Override
    public String catalog(long tag) {
        ServerCall<?> call = callerOf(tag);
        return call != null && call.session != null
                ? call.session.text(FlightSessions.CATALOG)
                : null;
    }

    private ServerCall<?> callerOf(long tag) {
        PendingAnswer found = pending.get(tag);
        return found == null ? null : found.caller;
    }

    // ---- Answers from the core
    // -------------------------------------------------------------------------
    private void answer(long tag, Consumer<ResponseCallback> with) {
        PendingAnswer unanswered = pending.remove(tag);
        if (unanswered != null) {
            unanswered.deliver(with);
        }
    }

    @Override
    public void served(long tag, RequestResult result) {
        answer(tag, reply -> reply.served(result));
    }

    @Override
    public void streamBegan(long tag, ResultStreamHandle stream) {
        PendingAnswer unanswered = pending.get(tag);
        if (unanswered != null) {
            unanswered.deliver(callback -> callback.begun((EngineResult.Stream) stream));
        }
    }

    @Override
    public void answeredWithStatus(long tag, FinalStatus status) {
        answer(tag, reply -> reply.word(((EngineResult.Word) status).status()));
    }

    @Override
    public void rejected(long tag, long retryAfterMs) {
        answer(tag, reply -> reply.refused(retryAfterMs));
    }

    @Override
    public void failed(long tag, FailureReason why) {
        answer(tag, reply -> reply.failed(why));
    }
}
