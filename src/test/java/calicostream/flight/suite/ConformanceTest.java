// SPDX-License-Identifier: Apache-2.0
package calicostream.flight.suite;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicostream.flight.suite.Script.Act;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Each thing that clients do, with each thing that an engine does in the call that it is about:
 * against the front end with two engines, of which the first asked misbehaves once, and against
 * that engine alone, so that the table itself is checked. Words: {@code ok}, {@code refused} (with
 * the time to stay away), {@code failed}, {@code unknown} (outcome), {@code dead} (transaction),
 * else the status; {@code !} any of these but ok, {@code *} any, {@code a/b} either, {@code -} no
 * case.
 */
class ConformanceTest {
    private static final Act[] ACTS = {
        Act.ANSWERS,
        Act.REFUSES,
        Act.SLOW,
        Act.ERRS,
        Act.DIES_BEFORE,
        Act.DIES_DURING,
        Act.DIES_AFTER,
        Act.DRAINS,
        Act.BAD_PROTOBUF,
        Act.BAD_ARROW
    };
    // op, engine's call, then by act: through the front end; alone
    private static final String TABLE =
            """
            query            get    ok ok ok ok ok ok ok ok ok ok              | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            query            info   ok ok ok ok ok ok ok ok - -                | ok resource_exhausted ok failed unavailable unavailable * ok - -
            stream           get    ok ok ok ok ok failed ok ok ok ok          | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            parts            get    ok ok ok ok ok ok ok ok ok ok              | ok resource_exhausted ok failed unavailable unavailable * ok ! !
            empty            get    ok ok ok ok ok - ok ok ok ok               | ok resource_exhausted ok failed unavailable - ok ok ! !
            update           put    ok ok ok failed failed failed ok ok failed failed | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            prepare          CreatePreparedStatement ok ok ok ok ok ok ok ok ok ok | ok resource_exhausted ok failed unavailable unavailable * ok ! !
            prepared-query   get    ok ok ok ok ok ok ok ok ok ok              | ok resource_exhausted ok failed unavailable unavailable * ok ! !
            prepared-bind    put    ok ok ok ok ok ok ok ok ok ok              | ok resource_exhausted ok failed unavailable unavailable * ok ! !
            prepared-update  put    ok ok ok failed failed failed ok ok failed failed | ok resource_exhausted ok failed unavailable unavailable * ok ! !
            begin            BeginTransaction ok ok ok ok ok ok ok ok ok ok    | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            commit           EndTransaction ok ok/refused ok unknown unknown unknown ok ok - - | ok resource_exhausted ok failed unavailable unavailable ok ok - -
            rollback         EndTransaction ok ok/refused ok dead dead dead ok ok - - | ok resource_exhausted ok failed unavailable unavailable ok ok - -
            txn-query        get    ok ok/refused ok failed failed failed ok ok failed failed | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            txn-update       put    ok ok/refused ok failed failed failed ok ok failed failed | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            savepoint        BeginSavepoint ok ok/refused ok dead dead dead - - dead dead | ok resource_exhausted ok failed unavailable unavailable - - ! !
            catalogs         get    ok ok ok ok ok ok ok ok ok ok              | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            schemas          get    ok ok ok ok ok - - - ok -                  | ok resource_exhausted ok failed unavailable - - - ! -
            tables           get    ok ok ok ok ok - - - ok -                  | ok resource_exhausted ok failed unavailable - - - ! -
            table-types      get    ok - - ok ok - - - - -                     | ok - - failed unavailable - - - - -
            primary-keys     get    ok - - ok ok - - - - -                     | ok - - failed unavailable - - - - -
            exported-keys    get    ok - - ok ok - - - - -                     | ok - - failed unavailable - - - - -
            imported-keys    get    ok - - ok ok - - - - -                     | ok - - failed unavailable - - - - -
            cross-reference  get    ok - - ok ok - - - - -                     | ok - - failed unavailable - - - - -
            type-info        get    ok - - ok ok - - - - -                     | ok - - failed unavailable - - - - -
            sql-info         get    ok ok ok ok ok ok ok ok ok ok              | ok resource_exhausted ok failed unavailable unavailable ok ok ! !
            schema           schema ok ok ok ok ok ok ok ok - -                | ok resource_exhausted ok failed unavailable unavailable ok ok - -
            substrait        info   ok ok ok ok ok ok ok ok - -                | ok resource_exhausted ok failed unavailable unavailable * ok - -
            ingest           put    ok refused/ok ok unknown unknown/ok unknown ok ok unknown unknown | ok resource_exhausted/unavailable ok failed ! ! ok ok ! !
            """;

    @TempDir Path folder;

    private record Case(String op, String kind, Act act, String through, String alone) {}

    private static List<Case> cases() {
        List<Case> out = new ArrayList<>();
        for (String line : TABLE.split("\n")) {
            String[] sides = line.trim().split("\\|");
            String[] through = sides[0].trim().split("\\s+");
            String[] alone = sides[1].trim().split("\\s+");
            for (int i = 0; i < ACTS.length; i++) {
                if (!through[i + 2].equals("-")) {
                    out.add(new Case(through[0], through[1], ACTS[i], through[i + 2], alone[i]));
                }
            }
        }
        return out;
    }

    private static boolean fits(String wanted, String got) {
        return wanted.equals("*")
                ? !got.startsWith("wrong")
                : wanted.equals("!")
                        ? !got.equals("ok") && !got.startsWith("wrong")
                        : Arrays.asList(wanted.split("/")).contains(got);
    }

    private String run(Case each, boolean alone) throws Exception {
        Path own = Files.createTempDirectory(folder, "case");
        Script script = new Script();
        try (FlightHarness rig = new FlightHarness(script, alone ? 1 : 2, own)) {
            Runnable arm = () -> script.next(each.kind, each.act);
            var client = alone ? rig.client(rig.engines.get(0).address().getPort()) : rig.client();
            String got = FlightOperations.outcome(FlightOperations.ALL.get(each.op), client, arm);
            boolean load =
                    List.of("update", "prepared-update", "txn-update", "ingest").contains(each.op);
            boolean twice =
                    load && (rig.count("update") > 1 || rig.count("ingest") > 1)
                            || rig.count("commit") > 1;
            return twice ? got + " twice" : got;
        }
    }

    @Test
    void everyCommandWithEveryFault() throws Exception {
        List<Case> cases = cases();
        List<String> report = new ArrayList<>();
        ExecutorService threads = Executors.newFixedThreadPool(4);
        List<Future<String>> results = new ArrayList<>();
        for (Case each : cases) {
            results.add(
                    threads.submit(
                            () -> {
                                String through = run(each, false);
                                String alone = run(each, true);
                                boolean held =
                                        fits(each.through, through) && fits(each.alone, alone);
                                return String.format(
                                        "%-5s %-16s %-24s %-13s through=%s (%s) alone=%s (%s)",
                                        held ? "held" : "FAIL",
                                        each.op,
                                        each.kind,
                                        each.act,
                                        through,
                                        each.through,
                                        alone,
                                        each.alone);
                            }));
        }
        for (Future<String> each : results) {
            report.add(each.get(120, TimeUnit.SECONDS));
        }
        threads.shutdownNow();
        List<String> failed = report.stream().filter(line -> line.startsWith("FAIL")).toList();
        report.add((report.size() - failed.size()) + " of " + report.size() + " cases held");
        Files.createDirectories(Path.of("target"));
        Files.write(Path.of("target", "flight-suite.txt"), report);
        System.out.println(report.get(report.size() - 1));
        assertEquals(List.of(), failed);
    }
}
