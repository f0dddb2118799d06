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
 * The cluster as an optional component: its settings, the services replicated in it, and this
 * process's member, which runs from the program's start until the server has shut down.
 */
final class ClusterComponent implements Service {
    /** A class of a library that is on the class path only where the cluster's libraries are. */
    private static final String LIBRARY_RESOURCE = "org/tomlj/Toml.class";

    private static final String LIBRARY_LOG_LEVEL = "org.slf4j.simpleLogger.log.io.microraft";
    private final ClusterConfig config;
    private final LeaseService leases;
    private final List<ReplicatedService> services = new ArrayList<>();

    /** Null where the file has no budget. */
    private final BudgetService budget;

    private Member member;

    private ClusterComponent(ClusterConfig config, long tokensAbove) {
        this.config = config;
        budget =
                config.budget()
                        .map(settings -> new BudgetService(settings, config.self().name()))
                        .orElse(null);
        leases = new LeaseService(config.leaseTtl(), config.raft().heartbeatPeriod(), tokensAbove);
        LeasedTaskProvider.configured().forEach(leases::add);
        services.add(leases);
        if (budget != null) {
            leases.add(budget.coordinatorTask());
            services.add(budget);
        }
    }

    /**
     * Reads the cluster's settings.
     *
     * @return null where the file disables the cluster
     * @throws SettingsException where the file can't be used, or a library is missing
     */
    static ClusterComponent read(Path path) {
        if (ClusterComponent.class.getClassLoader().getResource(LIBRARY_RESOURCE) == null) {
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

    /**
     * The engine client behind the budget's checks, where there is a budget.
     *
     * @param listeners to which the budget's listener is added
     */
    EngineClient withBudget(
            SelectorLoop loop, EngineClient engines, List<RequestListener> listeners) {
        if (budget == null) {
            return engines;
        }
        BudgetGate gate = budget.gate(loop, engines);
        listeners.add(gate.endpointListener());
        return gate;
    }

    /** Starts the member; called before the server serves, as a failure ends the program. */
    void join(SelectorLoop loop, Gateway gateway) throws IOException {
        leases.add(new EjectionHints(new EjectionHintBridge(loop, gateway)));
        // The library logs each vote and heartbeat that it misses; the member logs what matters.
        System.setProperty(LIBRARY_LOG_LEVEL, System.getProperty(LIBRARY_LOG_LEVEL, "off"));
        member = Member.start(config, services);
    }

    /** How many file descriptors the member uses at most. */
    int maxFileDescriptors() {
        return Member.maxFileDescriptors(config);
    }

    @Override
    public String name() {
        return "cluster";
    }

    /** Does nothing: the member runs since {@link #join}. */
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
    public String runAdminCommand(String command) {
        return member.execute(command);
    }
}
