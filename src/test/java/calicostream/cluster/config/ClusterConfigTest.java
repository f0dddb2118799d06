// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.cluster.config.ClusterConfigException.Code;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The example in the deploy folder, turned on, and with one line of it changed to be wrong. */
class ClusterConfigTest {
    private static final Path EXAMPLE = Path.of("deploy/cluster.toml");
    @TempDir Path folder;

    private static String example() throws IOException {
        return Files.readString(EXAMPLE).replace("enabled = false", "enabled = true");
    }

    private Path write(String text) throws IOException {
        return Files.writeString(folder.resolve("cluster.toml"), text);
    }

    private ClusterConfig read(String text) throws IOException {
        return ClusterConfig.read(write(text)).orElseThrow();
    }

    private ClusterConfigException readMistake(String text) throws IOException {
        Path file = write(text);
        return assertThrows(ClusterConfigException.class, () -> ClusterConfig.read(file));
    }

    private static int line(String text, String of) {
        return 1 + (int) text.substring(0, text.indexOf(of)).chars().filter(c -> c == '\n').count();
    }

    @Test
    void exampleIsOffAndHasEveryDefault() throws IOException {
        assertTrue(ClusterConfig.read(EXAMPLE).isEmpty());
        ClusterConfig config = read(example().substring(0, example().indexOf("# Session budgets")));
        String least = example().substring(0, example().indexOf("[raft]"));
        assertEquals(config, read(least));
        assertEquals(
                new ClusterConfig.RaftConfig(
                        Duration.ofMillis(250), 4, Duration.ofSeconds(1), 1024, 10_000),
                config.raft());
        assertEquals(
                new ClusterConfig.SessionConfig(Duration.ofSeconds(10), Duration.ofSeconds(1), 256),
                config.session());
        assertEquals(new ClusterConfig.DiskConfig(4 << 20, Duration.ofMillis(500)), config.disk());
        assertEquals(500, config.driftPpm());
        assertEquals(Duration.ofSeconds(5), config.leaseTtl());
        assertEquals(
                List.of(1, 2, 3),
                config.voters().stream().map(ClusterConfig.MemberAddress::number).toList());
        assertTrue(config.isInitialVoter());
        assertEquals(7501, config.self().address().getPort());
    }

    @Test
    void memberThatIsNoVoterHasANumberAndAnAddressOfItsOwn() throws IOException {
        ClusterConfig config =
                read(
                        example()
                                .replace(
                                        "name = \"m1\"\ndata = \"/var/lib/calicostream/m1\"",
                                        "name = \"n7\"\n"
                                                + "number = 7\n"
                                                + "listen = \"127.0.0.1:7507\"\n"
                                                + "data = \"seven\""));
        assertFalse(config.isInitialVoter());
        assertEquals(7, config.self().number());
        assertEquals(folder.resolve("seven"), config.dataFolder());
    }

    private static final String MEMBERS_AND_LINKS =
            "[[members]]\n"
                    + "name = \"m4\"\n"
                    + "number = 4\n"
                    + "address = \"127.0.0.1:7504\"\n"
                    + "[[links]]\n"
                    + "to = \"m2\"\n"
                    + "via = \"127.0.0.1:7602\"\n"
                    + "[[links]]\n"
                    + "to = \"m4\"\n"
                    + "via = \"127.0.0.1:7604\"\n";

    @Test
    void linksLeadToVotersAndMembersOtherwise() throws IOException {
        ClusterConfig config = read(example() + MEMBERS_AND_LINKS);
        assertEquals(
                Map.of(2, 7602, 3, 7503, 4, 7604),
                config.peerAddresses().entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, each -> each.getValue().getPort())));
        assertEquals(config.dataFolder(), config.markersFolder());
        String fourth =
                example()
                        .replaceFirst(
                                "name = \"m1\"",
                                "name = \"m4\"\ngeneration = 2\nmarks = \"other\"");
        ClusterConfig four =
                read(
                        fourth
                                + MEMBERS_AND_LINKS.substring(
                                        0, MEMBERS_AND_LINKS.lastIndexOf("[[links]]")));
        assertEquals(
                new ClusterConfig.MemberAddress("m4", 4, new InetSocketAddress("127.0.0.1", 7504)),
                four.self());
        assertFalse(four.isInitialVoter());
        assertEquals(2, four.generation());
        assertEquals(folder.resolve("other"), four.markersFolder());
        assertEquals(Set.of(1, 2, 3), four.peerAddresses().keySet());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "OUT_OF_RANGE | to = \"m2\" | to = \"m9\" | links.to: 'm9' is none of the voters"
                        + " and members",
                "IMPOSSIBLE | to = \"m2\" | to = \"m1\" | links.to: 'm1' is this member itself,"
                        + " member.name says",
                "OVERLAP | to = \"m4\" | to = \"m2\" | links.to: 'm2' has a link already",
                "MISSING_KEY | via = \"127.0.0.1:7604\" | # | links.via: it is needed",
                "OVERLAP | number = 4 | number = 2 | members.number: '2' is voter m2's",
                "OVERLAP | address = \"127.0.0.1:7504\" | address = \"127.0.0.1:7503\" |"
                        + " members.address: 127.0.0.1:7503 is voter m3's",
            })
    void mistakeInLinksAndMembersIsReported(Code code, String was, String is, String fact)
            throws IOException {
        ClusterConfigException mistake =
                readMistake(example() + MEMBERS_AND_LINKS.replace(was, is));
        assertEquals(code, mistake.code(), mistake.getMessage());
        assertTrue(mistake.getMessage().contains(": " + fact), mistake.getMessage());
    }

    /**
     * Each with the line of the example that is replaced, and what the message says of that line.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            nullValues = "-",
            value = {
                "UNKNOWN_KEY | retry = \"1s\" | retries = \"1s\" | session.retries: no such key",
                "UNKNOWN_KEY | [clock] | [clocks] | clocks: no such key",
                "SYNTAX | election = \"1s\" | election = 1s | -",
                "SYNTAX | missed = 4 | heartbeat = \"1s\" | -",
                "MISSING_KEY | name = \"league-east\" | # | cluster.name: it is needed",
                "MISSING_KEY | name = \"m1\" | name = \"m9\" | member.name: 'm9' is none of the"
                        + " voters m1,",
                "MISSING_KEY | address = \"127.0.0.1:7502\" | # | voters.address: it is needed",
                "WRONG_TYPE | queue = 1024 | queue = \"1024\" | raft.queue: a whole number is"
                        + " needed",
                "WRONG_TYPE | name = \"m2\" | name = 2 | voters.name: a text in quotes is needed",
                "WRONG_TYPE | enabled = true | enabled = \"yes\" | enabled: true or false is"
                        + " needed",
                "WRONG_TYPE | ttl = \"10s\" | ttl = true | session.ttl: a number with its unit, in"
                        + " quotes,",
                "WRONG_TYPE | address = \"127.0.0.1:7502\" | address = \"m2:7502\" |"
                        + " voters.address: 'm2:7502' is not",
                "WRONG_UNIT | ttl = \"10s\" | ttl = 10 | session.ttl: '10', a whole number with one"
                        + " of the units us, ms, s,",
                "WRONG_UNIT | ttl = \"5s\" | ttl = \"5MB\" | lease.ttl: '5MB', a whole number with"
                        + " one of the units us, ms,",
                "WRONG_UNIT | segment = \"4MB\" | segment = \"4 MB\" | disk.segment: '4 MB', a"
                        + " whole number with one of the units B,",
                "WRONG_UNIT | drift = \"500ppm\" | drift = \"0.05%\" | clock.drift: '0.05%', a"
                        + " whole number with one of the units ppm",
                "OUT_OF_RANGE | drift = \"500ppm\" | drift = \"100ppm\" | clock.drift: '100ppm',"
                        + " 500ppm to 100000ppm allowed",
                "OUT_OF_RANGE | ttl = \"5s\" | ttl = \"99999999999999999999h\" | lease.ttl:"
                        + " '99999999999999999999h', 1s to 1h allowed",
                "OUT_OF_RANGE | queue = 256 | queue = 0 | session.queue: 0, 1 to 65536 allowed",
                "OUT_OF_RANGE | name = \"league-east\" | name = \"a b\" | cluster.name: 'a b', 1 to"
                        + " 63 letters, digits, dots,",
                "OUT_OF_RANGE | address = \"127.0.0.1:7502\" | address = \"0.0.0.0:7502\" |"
                        + " voters.address: '0.0.0.0:7502', others",
                "OVERLAP | address = \"127.0.0.1:7503\" | address = \"127.0.0.1:7501\" |"
                        + " voters.address: 127.0.0.1:7501 is voter m1's",
                "OVERLAP | name = \"m3\" | name = \"m2\" | voters.name: 'm2' is voter m2's",
                "OVERLAP | number = 3 | number = 1 | voters.number: '1' is voter m1's",
                "OVERLAP | data = \"/var/lib/calicostream/m1\" | listen = \"127.0.0.1:7509\" |"
                        + " member.listen: voter m1 has another one",
                "IMPOSSIBLE | ttl = \"10s\" | ttl = \"2s\" | session.ttl: a session must outlast a"
                        + " change of leader, which takes 2s by",
                "IMPOSSIBLE | election = \"1s\" | election = \"250ms\" | raft.election: no longer"
                        + " than raft.heartbeat:",
                "IMPOSSIBLE | retry = \"1s\" | retry = \"10s\" | session.retry: no shorter than"
                        + " session.ttl: a session would",
                "IMPOSSIBLE | sync_warning = \"500ms\" | sync_warning = \"1s\" | disk.sync_warning:"
                        + " a leader whose disk is that slow",
            })
    void mistakeIsOneLineWithFileLineAndKey(Code code, String was, String is, String fact)
            throws IOException {
        String text = example();
        int at = line(text, was);
        ClusterConfigException mistake =
                readMistake(text.replaceFirst(Pattern.quote(was), Matcher.quoteReplacement(is)));
        assertEquals(code, mistake.code(), mistake.getMessage());
        boolean whole = is.equals("#"); // A key that is not there is mistake at its table's head.
        int line =
                whole
                        ? line(
                                text,
                                mistake.key().equals("cluster.name")
                                        ? "[cluster]"
                                        : "[[voters]]\nname = \"m2\"")
                        : at;
        assertEquals(line, mistake.line(), mistake.getMessage());
        String message = mistake.getMessage();
        assertTrue(
                message.startsWith(
                        "bad configuration: " + folder.resolve("cluster.toml") + ":" + line + ": "),
                message);
        assertTrue(message.endsWith(" [" + code.text() + "]"), message);
        assertEquals(1, message.lines().count(), message);
        assertTrue(fact == null || message.contains(": " + fact), message);
        assertTrue(fact == null || fact.startsWith(mistake.key()), message);
    }

    @Test
    void votersAreThreeOrFive() throws IOException {
        String text = example();
        String two =
                text.replace(
                        text.substring(
                                text.indexOf("[[voters]]\nname = \"m3\""), text.indexOf("[raft]")),
                        "");
        ClusterConfigException mistake = readMistake(two);
        assertEquals(
                "bad configuration: "
                        + folder.resolve("cluster.toml")
                        + ":"
                        + line(two, "[[voters]]")
                        + ": voters: 2 voters, 3 or 5 needed [cluster-config-impossible]",
                mistake.getMessage());
    }

    @Test
    void memberThatIsNoVoterTakesNoVotersPlace() throws IOException {
        String text =
                example()
                        .replace(
                                "name = \"m1\"\ndata",
                                "name = \"n7\"\nnumber = 2\nlisten = \"127.0.0.1:7507\"\ndata");
        ClusterConfigException mistake = readMistake(text);
        assertEquals(Code.OVERLAP, mistake.code());
        assertEquals("member.number", mistake.key());
        assertEquals(line(text, "number = 2"), mistake.line());
    }

    @Test
    void fileThatIsNotThereIsAMistake() {
        ClusterConfigException mistake =
                assertThrows(
                        ClusterConfigException.class,
                        () -> ClusterConfig.read(folder.resolve("none.toml")));
        assertEquals(Code.UNREADABLE, mistake.code());
        assertEquals(0, mistake.line());
    }

    @Test
    void furtherSectionsAreReadBySomebodyElse() throws IOException {
        SettingsFile file =
                SettingsFile.read(
                        write(
                                example()
                                        + "\n"
                                        + "[teams.east]\n"
                                        + "weight = 3\n\n"
                                        + "[teams.west]\n"
                                        + "wieght = 2\n"));
        assertTrue(ClusterConfig.of(file).isPresent());
        SettingsFile.Section teams = file.section("teams");
        assertEquals(List.of("east", "west"), teams.names());
        assertEquals(3, teams.section("east").count("weight", null, 1, 100));
        assertEquals(
                "teams.west.weight",
                assertThrows(
                                ClusterConfigException.class,
                                () -> teams.section("west").count("weight", null, 1, 100))
                        .key());
        assertEquals(1, teams.section("west").count("weight", 1, 1, 100));
        ClusterConfigException left =
                assertThrows(ClusterConfigException.class, file::requireAllKeysKnown);
        assertEquals("teams.west.wieght", left.key());
        assertEquals(
                (int)
                        (example() + "\n[teams.east]\nweight = 3\n\n[teams.west]\nwieght")
                                .lines()
                                .count(),
                left.line());
    }

    @Test
    void pageHasARowForEachCodeAndKey() throws IOException {
        String page = Files.readString(Path.of("docs/operate/cluster-settings.md"));
        Set<String> rows =
                page.lines()
                        .filter(l -> l.startsWith("| `cluster-config-"))
                        .map(l -> l.split("`")[1])
                        .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(
                List.of(Code.values()).stream()
                        .map(Code::text)
                        .collect(Collectors.toCollection(TreeSet::new)),
                rows);
        String table = "";
        for (String line : example().lines().toList()) {
            table = line.startsWith("[") ? line.replaceAll("[\\[\\]]", "") + "." : table;
            if (Pattern.matches("[a-z_]+ = .*", line)) {
                String key =
                        (table + line.substring(0, line.indexOf(' ')))
                                .replaceFirst("^(pools|tenants)\\.[a-z]+", "$1.NAME");
                assertTrue(page.contains("`" + key + "`"), key);
            }
        }
    }
}
