// SPDX-License-Identifier: Apache-2.0
package calicostream.platform;

import calicostream.net.InvalidInputException;
import calicostream.routing.AttemptOutcome;
import calicostream.routing.LoadReport;
import calicostream.routing.ProgressKind;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Handles the responses that an engine sends on one connection. */
final class RespResponseHandler {
    private static final int RESPONSE_PARTS = 4;

    /** The engine has the result ready, so a page is delayed only by the network. */
    private static final long PAGE_TIMEOUT_MICROS = 1_000_000;

    private static final int WAITING_FOR_LOAD_LEVEL = 2;

    private final RespContext context;
    private final RespConnection connection;

    RespResponseHandler(RespContext context, RespConnection connection) {
        this.context = context;
        this.connection = connection;
    }

    /**
     * Handles one response, which has the parts id, kind, fields and rows.
     *
     * @throws InvalidInputException if the response is invalid; the connection must be closed then
     */
    void handle(byte[][] response) throws InvalidInputException {
        if (response.length != RESPONSE_PARTS) {
            throw new InvalidInputException("a response of " + response.length + " parts");
        }
        String id = text(response[0]);
        RespLoadProbe probe = connection.probes().remove(id);
        if (probe != null) {
            probeAnswered(probe, response);
            return;
        }
        RespCall call = connection.call(id);
        if (call != null) { // Otherwise it is late, a duplicate or unexpected, and is ignored.
            callAnswered(call, response);
        }
    }

    private void callAnswered(RespCall call, byte[][] response) throws InvalidInputException {
        String kind = text(response[1]);
        Map<String, String> fields = RespFields.parse(text(response[2]));
        LoadReport report = RespFields.parseLoadReport(fields.get("stats"));
        if (report != null) {
            call.setLoadReport(report);
        }
        switch (kind) {
            case "DONE":
                int pages = RespFields.integer(fields, "sheets", 1, PagedResult.MAX_PAGES);
                firstPage(call, pages, response[3]);
                break;
            case "MORE":
                int page = RespFields.integer(fields, "sheet", -1, PagedResult.MAX_PAGES);
                furtherPage(call, page, response[3]);
                break;
            case "WAIT":
                connection.end(call, unlessAnswered(call, AttemptOutcome.OVERLOADED), null);
                break;
            case "BROKE":
                connection.end(call, AttemptOutcome.ERROR, null);
                break;
            case "PAST":
                connection.end(call, unlessAnswered(call, AttemptOutcome.NOT_STARTED), null);
                break;
            case "TELL":
                progress(call, fields);
                break;
            default:
                throw new InvalidInputException("a response of an unknown kind");
        }
    }

    /** An engine that has sent the first page of a result has run the call, whatever it says. */
    private static AttemptOutcome unlessAnswered(RespCall call, AttemptOutcome neverRan) {
        return call.pages() == null ? neverRan : AttemptOutcome.ERROR;
    }

    /** Handles a probe's response; that of an unfit engine may include a load report, too. */
    private void probeAnswered(RespLoadProbe probe, byte[][] response)
            throws InvalidInputException {
        String kind = text(response[1]);
        if (!kind.equals("FIT") && !kind.equals("UNFIT")) {
            throw new InvalidInputException("a probe response of an unknown kind");
        }
        Map<String, String> fields = RespFields.parse(text(response[2]));
        probe.end(
                kind.equals("FIT") ? AttemptOutcome.OK : AttemptOutcome.ERROR,
                RespFields.parseLoadReport(fields.get("stats")));
    }

    /** Fetches the other pages; the client receives a complete result or none. */
    private void firstPage(RespCall call, int pages, byte[] first) throws InvalidInputException {
        if (call.pages() != null) { // A duplicate that arrived while pages are being fetched.
            return;
        }
        if (pages < 1) {
            throw new InvalidInputException("a result without pages");
        }
        if (pages == 1) {
            connection.end(call, AttemptOutcome.OK, PagedResult.checkedPage(first));
            return;
        }
        call.setPages(new PagedResult(pages, first));
        for (int page = 1; page < pages; page++) {
            connection.sendCommand("FETCH", call.requestId(), Integer.toString(page));
        }
        awaitPage(call, call.pages().missing());
    }

    /** Closes the connection if no further page arrives in time. */
    private void awaitPage(RespCall call, int missing) {
        context.schedule(PAGE_TIMEOUT_MICROS, () -> pageTimerFired(call, missing));
    }

    private void pageTimerFired(RespCall call, int missing) {
        if (connection.call(call.requestId()) != call) {
            return;
        }
        if (call.pages().missing() < missing) {
            awaitPage(call, call.pages().missing());
        } else {
            connection.closeForInvalidInput("a page was not received in time");
        }
    }

    private void furtherPage(RespCall call, int number, byte[] page) throws InvalidInputException {
        if (call.pages() == null) {
            throw PagedResult.unexpectedPage();
        }
        if (call.pages().add(number, page) && call.pages().isComplete()) {
            connection.sendCommand("END", call.requestId());
            connection.end(call, AttemptOutcome.OK, call.pages().join());
        }
    }

    private void progress(RespCall call, Map<String, String> fields) {
        double value = RespFields.number(fields.get("val"));
        ProgressKind kind =
                switch (fields.getOrDefault("how", "")) {
                    case "pct" -> ProgressKind.FRACTION_DONE;
                    case "overflow" -> ProgressKind.SPILLING;
                    case "queued" ->
                            value >= WAITING_FOR_LOAD_LEVEL
                                    ? ProgressKind.WAITING_FOR_LOAD
                                    : ProgressKind.WAITING_FOR_MEMORY;
                    default -> ProgressKind.OTHER;
                };
        double amount = kind == ProgressKind.OTHER ? 0 : value;
        context.gateway().attemptProgressed(call.attempt(), kind, amount);
    }

    private static String text(byte[] part) {
        return new String(part, StandardCharsets.ISO_8859_1);
    }
}
