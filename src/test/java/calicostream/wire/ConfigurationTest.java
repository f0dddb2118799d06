// SPDX-License-Identifier: Apache-2.0
package calicostream.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.routing.SettingsParser;
import com.eclipsesource.json.Json;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationTest {
    @TempDir Path folder;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{\"listen\":\"127.0.0.1:0\"}",
                "{\"listen\":7,\"changelog\":\"x\"}",
                "{\"listen\":\"localhost:80\",\"changelog\":\"127.0.0.1:1\",\"known\":{},\"settings\":{}}",
                "{\"listen\":\"127.0.0.1:0\",\"changelog\":\"127.0.0.1:1\",\"known\":{},\"settings\":{}}",
                "{\"listen\":\"127.0.0.1:0\",\"changelog\":\"127.0.0.1:1\",\"known\":{\"results\":[]},"
                    + "\"settings\":{\"stats\":{\"how\":\"what\"}}}"
            })
    void badConfigurationEndsTheProgramWithOneLine(String text) throws Exception {
        Process process =
                ServerProgram.launch(folder, Files.writeString(folder.resolve("bad.json"), text));
        List<String> said = process.inputReader().lines().toList();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertEquals(1, said.size(), said.toString());
        assertTrue(said.get(0).startsWith("calicostream: bad "), said.get(0));
    }

    /**
     * As nohup starts it: the new file is taken all the same, also after one that can't be used.
     */
    @Test
    void fileThatChangesIsReadWhereTheSignalIsIgnored() throws Exception {
        try (FakeDiscoveryServer log = new FakeDiscoveryServer();
                FakeDiscoveryServer log2 = new FakeDiscoveryServer();
                FakeRespEngine engine = new FakeRespEngine()) {
            List<String> engines =
                    List.of(ServerProgram.endpoint("e1", engine.address(), "Ready", 0));
            Path config = ServerProgram.configure(folder, 0, log.port(), engines, 1024);
            try (ServerProgram program = ServerProgram.deaf(folder, config)) {
                program.awaitLine("SIGHUP is ignored");
                assertEquals("1", log.follow());
                program.awaitLine("listening on port");
                String whole =
                        Files.readString(
                                ServerProgram.configure(folder, 0, log2.port(), engines, 1024));
                Files.writeString(config, whole.substring(0, whole.length() / 2));
                program.awaitLine("configuration not reloaded");
                program.hangUp(); // Changes nothing: it is not heard.
                Files.writeString(config, whole);
                program.awaitLine("configuration reloaded");
                assertEquals("1", log2.follow());
            }
        }
    }

    /**
     * The log is there and never answers: what it got since the start counts as told after 7 s, and
     * not before.
     */
    @Test
    void withoutTheChangeLogClientsComeSevenSecondsAfterTheStart() throws Exception {
        try (FakeDiscoveryServer log = new FakeDiscoveryServer();
                FakeRespEngine engine = new FakeRespEngine()) {
            long from = System.nanoTime();
            try (ServerProgram program =
                    new ServerProgram(
                            folder,
                            log.port(),
                            List.of(ServerProgram.endpoint("e1", engine.address(), "Ready", 0)))) {
                program.awaitLine("endpoint list may be incomplete");
                int port = program.port("listening on port");
                assertTrue(
                        System.nanoTime() - from >= 7_000_000_000L,
                        "it came before the list could");
                ServerProgram.ask(port, engine, 1);
            }
        }
    }

    @Test
    void bothFormsOfTheSettingsReadAlike() {
        String lines =
                "balancers=2\n"
                        + "stats.columns=util,inflight\n"
                        + "stats.how=inline\n"
                        + "lanes.count=1\n"
                        + "lanes.0.name=a_b\n"
                        + "lanes.0.effect=once\n"
                        + "lanes.0.aim_us=5\n"
                        + "lanes.0.allowed_in=0,1\n"
                        + "family_info.kind_cores=12,8\n"
                        + "ceilings.may_probe=false\n"
                        + "realms=\n";
        String json =
                "{'balancers':2,'stats':{'columns':['util','inflight'],'how':'inline'},'lanes':[{'name':'a"
                    + " b','effect':'once','aim_us':5,'allowed_in':[0,1]}],'family_info':{'kind_cores':[12,8]},"
                    + "'ceilings':{'may_probe':false},'realms':[],'new':{'key':null}}";
        SettingsParser one = SettingsParser.ofLines(lines);
        SettingsParser other =
                SettingsParser.ofJson(Json.parse(json.replace('\'', '"')).asObject());
        assertEquals(one.settings(), other.settings());
        assertEquals(one.classNames(), other.classNames());
        assertEquals(List.of("util", "inflight"), other.loadReportColumns());
    }
}
