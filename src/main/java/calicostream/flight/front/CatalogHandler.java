// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.front;

import calicostream.core.FailureReason;
import calicostream.core.RequestResult;
import calicostream.flight.state.CoalescingCache;
import calicostream.flight.wire.EngineOperation;
import calicostream.flight.wire.EngineResult;
import calicostream.flight.wire.FlightFrame;
import com.google.protobuf.ByteString;
import io.grpc.Status;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What engines tell of their catalogs and of statements' schemas: equal questions share an attempt,
 * and answers live for a while. The attempt belongs to no call; it is given up when nobody waits
 * for it any more.
 */
final class CatalogHandler {
    /**
     * What came of a question: an answer, or the status to tell; {@code stayAwayMs} below 0:
     * nothing of coming back.
     */
    record Told(Object answer, Status status, long stayAwayMs) {}

    /** A question under way; after a change of a catalog the same one is asked anew. */
    private record Question(String text, long epoch) {}

    private static final class Asked {
        RequestDispatcher.Submitted attempt;
    }

    /** Who waits; compared by identity. */
    private static final class Waiter {
        final Consumer<Told> then;

        Waiter(Consumer<Told> then) {
            this.then = then;
        }
    }

    private final RequestDispatcher desk;
    private final CoalescingCache<Waiter, Object> shared;
    private final Map<Question, Asked> under = new HashMap<>();

    CatalogHandler(RequestDispatcher desk) {
        this.desk = desk;
        shared = new CoalescingCache<>(desk.config.metadataLifeUs(), desk.config.metadataBytes());
    }

    CoalescingCache<Waiter, Object> shared() {
        return shared;
    }

    /** The frames of a command's result; they are on the heap. */
    void frames(ServerCall<?> call, ByteString command, Consumer<Told> then) {
        ask(call, "rows", command, new EngineOperation.Query(command, null, false), then);
    }

    /** The schema of a command's result; an empty one where engines don't tell. */
    void schema(ServerCall<?> call, ByteString command, Consumer<Told> then) {
        ask(call, "schema", command, new EngineOperation.Describe(command), then);
    }

    private void ask(
            ServerCall<?> call,
            String kind,
            ByteString command,
            EngineOperation work,
            Consumer<Told> then) {
        String session = desk.headers(call).toString(); // Engines may answer by session and user.
        String text =
                kind
                        + ' '
                        + session
                        + ' '
                        + java.util.Base64.getEncoder().encodeToString(command.toByteArray());
        Question question = new Question(text, shared.epoch());
        String catalog =
                call.session == null
                        ? ""
                        : String.valueOf(call.session.options().getOrDefault("catalog", ""));
        Waiter waiter =
                new Waiter(
                        told -> {
                            if (!call.isOver()) {
                                call.run(() -> then.accept(told));
                            }
                        });
        switch (shared.lookUp(desk.now(), text, waiter)) {
            case HIT:
                then.accept(new Told(shared.find(desk.now(), text), null, -1));
                return;
            case MISS:
                attempt(call, question, catalog, work);
                break;
            default:
                break;
        }
        call.atEnd(
                () -> {
                    if (shared.waiterGone(text, question.epoch, waiter)) {
                        Asked nobody = under.remove(question);
                        if (nobody != null && nobody.attempt != null) {
                            nobody.attempt.abandon();
                        }
                    }
                });
    }

    private void attempt(
            ServerCall<?> call, Question question, String catalog, EngineOperation work) {
        int queryClass = desk.metadataClass();
        Asked asked = new Asked();
        under.put(question, asked);
        asked.attempt =
                desk.submitShared(
                        desk.headers(call),
                        queryClass,
                        work,
                        new ResponseCallback() {
                            @Override
                            public void served(RequestResult result) {
                                Object answer = result;
                                long size = 0;
                                if (result instanceof EngineResult.Held held) {
                                    List<FlightFrame> solid =
                                            held.frames().stream().map(FlightFrame::solid).toList();
                                    size = solid.stream().mapToLong(FlightFrame::bytes).sum();
                                    answer = solid;
                                    held.room().run();
                                } else if (result instanceof EngineResult.Described described) {
                                    size = described.schema().size();
                                    answer = described.schema();
                                }
                                under.remove(question, asked);
                                Told told = new Told(answer, null, -1);
                                shared.complete(
                                                desk.now(),
                                                question.text,
                                                question.epoch,
                                                catalog,
                                                answer,
                                                size + question.text.length() + 64L)
                                        .forEach(each -> each.then.accept(told));
                            }

                            @Override
                            public void refused(long stayAwayMs) {
                                over(
                                        new Told(
                                                null,
                                                FlightStatuses.refusal(stayAwayMs),
                                                stayAwayMs));
                            }

                            @Override
                            public void failed(FailureReason why) {
                                over(new Told(null, FlightStatuses.failure(why), -1));
                            }

                            @Override
                            public void word(Status status) {
                                if (work instanceof EngineOperation.Describe
                                        && status.getCode() == Status.Code.UNIMPLEMENTED) {
                                    served(
                                            new EngineResult.Described(
                                                    ByteString
                                                            .EMPTY)); // Kept, so as not to be asked
                                    // each time.
                                } else {
                                    over(new Told(null, status, -1));
                                }
                            }

                            private void over(Told told) {
                                under.remove(question, asked);
                                shared.failed(question.text, question.epoch)
                                        .forEach(each -> each.then.accept(told));
                            }
                        });
    }

    /** A statement or an upload may have changed what engines tell; an empty name: any catalog. */
    void changed(String catalog) {
        shared.invalidate(catalog);
    }
}
