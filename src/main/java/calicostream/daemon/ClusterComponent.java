// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.budget.process.BudgetGate;
import calicostream.budget.process.BudgetService;
import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.config.SettingsFile;
import calicostream.cluster.process.Member;
import calicostream.cluster.process.ReplicatedService;
import calicostream.config.SettingsException;
import calicostream.core.EngineClient;
import calicostream.core.Gateway;
import calicostream.core.RequestListener;
import calicostream.core.Service;
import calicostream.lease.EjectionHints;
import calicostream.lease.process.LeaseService;
import calicostream.lease.process.LeasedTaskProvider;
import calicostream.net.SelectorLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The cluster as a part of the program: its settings, the layers on it, and its member, which runs
 * from the start of the program until the front end has served out.
 */
final class ClusterComponent implements Service {
    private static final String LIBRARY = "org/tomlj/Toml.class";
    private final ClusterConfig config;
    private final LeaseService leases;
    private final List<ReplicatedService> layers = new ArrayList<>();
    private final BudgetService budget; // null where the file has none
    private Member member;

    private ClusterComponent(ClusterConfig config, long tokensAbove) {
        this.config = config;
        budget =
                config.budget()
                        .map(settings -> new BudgetService(settings, config.self().name()))
                        .orElse(null);
        leases = new LeaseService(config.leaseTtl(), config.raft().heartbeatPeriod(), tokensAbove);
        LeasedTaskProvider.chosen().forEach(leases::add);
        layers.add(leases);
        if (budget != null) {
            leases.add(budget.coordinatorTask());
            layers.add(budget);
        }
    }

    /** Null where the file leaves the cluster off. */
    static ClusterComponent read(Path path) {
        if (ClusterComponent.class.getClassLoader().getResource(LIBRARY) == null) {
            throw new SettingsException(
                    "bad configuration: NODE_CLUSTER names "
                            + path
                            + ", but the class path has not the libraries of target/lib-cluster;"
                            + " README.md has the command [cluster-libraries-missing]");
        }
        SettingsFile file = SettingsFile.read(path);
        ClusterConfig config = ClusterConfig.of(file).orElse(null);
        if (config == null) {
            return null;
        }
        int tokensAbove = file.section("lease").count("tokens_above", 0, 0, Integer.MAX_VALUE);
        file.requireAllKeysKnown();
        return new ClusterComponent(config, tokensAbove);
    }

    /** The engine side with what stands before it, which hears of the list among the watchers. */
    EngineClient gated(SelectorLoop loop, EngineClient engines, List<RequestListener> watchers) {
        if (budget == null) {
            return engines;
        }
        BudgetGate gate = budget.gate(loop, engines);
        watchers.add(gate.endpointListener());
        return gate;
    }

    /** Before anybody is served: what ends the program must do so now. */
    void join(SelectorLoop loop, Gateway gateway) throws IOException {
        leases.add(new EjectionHints(new EjectionHintBridge(loop, gateway)));
        // The library tells each vote and heartbeat that it misses; what matters of it the member
        // says itself.
        System.setProperty(
                "org.slf4j.simpleLogger.log.io.microraft",
                System.getProperty("org.slf4j.simpleLogger.log.io.microraft", "off"));
        member = Member.start(config, layers);
    }

    /** How many the member takes at most. */
    int descriptors() {
        return Member.maxFileDescriptors(config);
    }

    @Override
    public String name() {
        return "cluster";
    }

    /** The member has run since {@link #join}. */
    @Override
    public void start() {}

    @Override
    public int port() {
        return member.port();
    }

    @Override
    public void stopListening() {
        member.stop();
    }

    @Override
    public void awaitTermination() throws InterruptedException {
        member.stop();
        member.awaitTermination();
    }

    @Override
    public String statusJson() {
        return member.statusJson();
    }

    @Override
    public String administer(String words) {
        return member.tell(words);
    }
}
