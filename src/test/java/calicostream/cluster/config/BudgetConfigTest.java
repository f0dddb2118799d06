// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicostream.budget.BudgetSettings;
import calicostream.budget.TenantRules.RequestAttributes;
import calicostream.cluster.config.ClusterConfigException.Code;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The budget sections of the example in the deploy folder, unchanged and with one line changed to
 * be wrong.
 */
class BudgetConfigTest {
    @TempDir Path folder;

    private static String example() throws IOException {
        return Files.readString(Path.of("deploy/cluster.toml"))
                .replace("enabled = false", "enabled = true");
    }

    private ClusterConfig read(String text) throws IOException {
        return ClusterConfig.read(Files.writeString(folder.resolve("cluster.toml"), text))
                .orElseThrow();
    }

    @Test
    void exampleHasPoolsTenantsAndEveryKindOfMatcher() throws IOException {
        BudgetConfig config = read(example()).budget().orElseThrow();
        assertEquals(
                List.of(
                        new BudgetSettings.Pool("core", 2, 640),
                        new BudgetSettings.Pool("scatter", 1, 1_000_000)),
                config.settings().pools());
        assertEquals(
                new BudgetSettings.Quota(20, 300),
                config.settings().tenants().get(0).quota("core"));
        assertEquals(
                new BudgetSettings.Quota(40, 400),
                config.settings().tenants().get(0).quota(BudgetSettings.ALL_POOLS));
        assertEquals(1, config.settings().tenants().get(1).weight());
        assertEquals(5_000_000_000L, config.settings().ttlNanos());
        assertEquals(500, config.settings().driftPpm());
        assertEquals(Optional.of("core"), config.poolOfEngineKind(0));
        assertEquals(Optional.of("scatter"), config.poolOfEngineKind(7));
        assertEquals(16, config.enginePools().get("scatter").engineCap());
        assertEquals(Duration.ofMillis(300), config.maxQueueDelay());
        int east = 0;
        int others = 1;
        InetAddress inside = InetAddress.getByName("10.1.255.3");
        InetAddress outside = InetAddress.getByName("10.2.0.0");
        assertEquals(others, config.tenants().tenantOf(RequestAttributes.NONE));
        assertEquals(
                east,
                config.tenants()
                        .tenantOf(new RequestAttributes(null, "east-app", null, null, null)));
        assertEquals(
                east,
                config.tenants()
                        .tenantOf(new RequestAttributes(null, "somebody", "east", null, outside)));
        assertEquals(
                east,
                config.tenants()
                        .tenantOf(
                                new RequestAttributes(
                                        null,
                                        null,
                                        null,
                                        new InetSocketAddress("127.0.0.1", 7601),
                                        outside)));
        assertEquals(
                east,
                config.tenants().tenantOf(new RequestAttributes(null, null, null, null, inside)));
        assertEquals(
                others,
                config.tenants()
                        .tenantOf(
                                new RequestAttributes("others", "east-app", "east", null, inside)),
                "the tenant that the call names takes precedence");
        assertEquals(
                others,
                config.tenants()
                        .tenantOf(
                                new RequestAttributes(
                                        "nobody", null, null, null, InetAddress.getByName("::1"))));
    }

    @Test
    void fileWithoutBudgetsHasNone() throws IOException {
        assertTrue(
                read(example().substring(0, example().indexOf("# Session budgets")))
                        .budget()
                        .isEmpty());
    }

    /** Each with the expected code, the replaced text, its replacement, the key and the fact. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "UNKNOWN_KEY | in_hand = 8 | in_hands = 8 | budget.in_hands | no such key",
                "UNKNOWN_KEY | weight = 3 | wieght = 3 | tenants.east.wieght | no such key",
                "UNKNOWN_KEY | pools.core.ceiling = 300 | pools.core.most = 300 |"
                        + " tenants.east.pools.core.most | no such key",
                "WRONG_UNIT | patience = \"300ms\" | patience = \"300MB\" | budget.patience |"
                        + " '300MB', a whole number with one of the units us,",
                "WRONG_UNIT | ttl = \"5s\"\\n"
                        + "processes | ttl = 5\\n"
                        + "processes | budget.ttl | '5', a whole number with one of the units us,",
                "WRONG_TYPE | kinds = [0] | kinds = [\"core\"] | pools.core.kinds | an array of"
                        + " whole numbers is needed",
                "WRONG_TYPE | logins = [\"east-app\"] | logins = \"east-app\" | tenants.east.logins"
                        + " | an array of texts in quotes is needed",
                "WRONG_TYPE | \"10.1.0.0/16\" | \"10.1.0.1/16\" | tenants.east.clients |"
                        + " '10.1.0.1/16' is no range such as 10.1.0.0/16",
                "WRONG_TYPE | \"10.1.0.0/16\" | \"10.1/16\" | tenants.east.clients | '10.1/16' is"
                        + " no range",
                "WRONG_TYPE | \"10.1.0.0/16\" | \"east.example/16\" | tenants.east.clients |"
                        + " 'east.example/16' is no range",
                "OUT_OF_RANGE | in_hand = 8 | in_hand = 0 | budget.in_hand | 0, 1 to 10000 allowed",
                "OUT_OF_RANGE | \"m2\", \"m3\"] | \"m 2\"] | budget.processes | 'm 2', 1 to 63"
                        + " letters",
                "MISSING_KEY | engine_cap = 16 | # | pools.scatter.engine_cap | it is needed",
                "OVERLAP | \"m2\", \"m3\"] | \"m2\", \"m2\"] | budget.processes | 'm2' comes twice",
                "OVERLAP | engine_cap = 16 | engine_cap = 16\\n"
                        + "kinds = [3, 0] | pools.scatter.kinds | kind 0 is pool core's",
                "OVERLAP | kinds = [0] | # | pools.scatter.kinds | all the other kinds is pool"
                        + " core's",
                "OVERLAP | [tenants.others] | [tenants.others]\\n"
                        + "logins = [\"b\", \"east-app\"] | tenants.others.logins | 'east-app' is"
                        + " tenant east's",
                "OVERLAP | [tenants.others] | [tenants.others]\\n"
                    + "clients = [\"10.0.0.0/8\"] | tenants.others.clients | '10.0.0.0/8' is tenant"
                    + " east's",
                "IMPOSSIBLE | engine_cap = 32 | engine_cap = 5 | pools.core.engine_cap | 5 is less"
                        + " than the floors of 3 processes, 6 by",
                "IMPOSSIBLE | cap = 640 | cap = 19 | pools.core.cap | 19 is less than the 20 that"
                        + " tenants are guaranteed",
                "IMPOSSIBLE | ceiling = 400 | ceiling = 39 | tenants.east.ceiling | 39 is less than"
                        + " the guarantee of 40",
                "IMPOSSIBLE | core.guarantee = 20 | core.guarantee = 401 |"
                    + " tenants.east.pools.core.ceiling | 300 is less than the guarantee of 401",
                "IMPOSSIBLE | pools.core.ceiling = 300 | pools.cores.ceiling = 300 |"
                        + " tenants.east.pools.cores | 'cores' is none of the pools core, scatter",
                "IMPOSSIBLE | default = \"others\" | default = \"other\" | budget.default | 'other'"
                        + " is none of the tenants east, others",
                "IMPOSSIBLE | ttl = \"5s\"\\n"
                    + "processes | ttl = \"2s\"\\n"
                    + "processes | budget.ttl | grants must outlast a change of leader, which takes"
                    + " 2s by",
            })
    void mistakeIsOneLineWithFileLineAndKey(
            Code code, String was, String is, String key, String fact) throws IOException {
        String text = example();
        int at = text.lastIndexOf(was.replace("\\n", "\n"));
        assertTrue(at > 0, was);
        String wrongText =
                text.substring(0, at)
                        + is.replace("\\n", "\n")
                        + text.substring(at + was.replace("\\n", "\n").length());
        ClusterConfigException mistake =
                assertThrows(ClusterConfigException.class, () -> read(wrongText));
        String message = mistake.getMessage();
        assertEquals(code, mistake.code(), message);
        assertEquals(key, mistake.key(), message);
        assertTrue(message.contains(": " + key + ": " + fact), message);
        assertEquals(1, message.lines().count(), message);
        String last =
                key.substring(
                        key.lastIndexOf('.')
                                + 1); // its line, or its table's head where it is not there
        String line = wrongText.lines().skip(mistake.line() - 1).findFirst().orElseThrow();
        assertTrue(
                line.matches("(.*\\.)?" + last + "(\\..*)? = .*")
                        || line.startsWith("[")
                        || line.contains("cores"),
                line);
    }
}
