// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.SettingsException;
import calicostream.cluster.config.ClusterConfig;
import calicostream.cluster.config.SettingsFile;
import calicostream.cluster.process.Layer;
import calicostream.cluster.process.Member;
import calicostream.core.Gateway;
import calicostream.core.Service;
import calicostream.lease.Trials;
import calicostream.lease.process.LeaseLayer;
import calicostream.lease.process.TaskSource;
import calicostream.net.Loop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The cluster as a part of the program: its settings, the layers on it, and its member, which runs from the start of the
 * program until the front end has served out.
 */
final class ClusterPart implements Service {
    private static final String LIBRARY = "org/tomlj/Toml.class";
    private final ClusterConfig config;
    private final LeaseLayer leases;
    private final List<Layer> layers;
    private Member member;

    private ClusterPart(ClusterConfig config, LeaseLayer leases, List<Layer> layers) {
        this.config = config;
        this.leases = leases;
        this.layers = layers;
    }

    /** Null where the file leaves the cluster off. */
    static ClusterPart read(Path path) {
        if (ClusterPart.class.getClassLoader().getResource(LIBRARY) == null) {
            throw new SettingsException("bad configuration: NODE_CLUSTER names " + path + ", but the class path has not the "
                    + "libraries of target/lib-cluster; README.md has the command [cluster-libraries-missing]");
        }
        SettingsFile file = SettingsFile.read(path);
        ClusterConfig config = ClusterConfig.of(file).orElse(null);
        if (config == null) {
            return null;
        }
        LeaseLayer leases = new LeaseLayer(config.leaseTtl(), file.section("lease").count("tokens_above", 0, 0, Integer.MAX_VALUE));
        List<Layer> layers = layers(config, file, leases);
        file.done();
        return new ClusterPart(config, leases, layers);
    }

    /** Each layer takes its settings out of the file; all members must have the same layers. */
    private static List<Layer> layers(ClusterConfig config, SettingsFile file, LeaseLayer leases) {
        List<Layer> out = new ArrayList<>();
        TaskSource.chosen().forEach(leases::add);
        out.add(leases);
        return out;
    }

    /** Before anybody is served: what ends the program must do so now. */
    void join(Loop loop, Gateway gateway) throws IOException {
        leases.add(new Trials(new TrialsPort(loop, gateway)));
        // The library tells each vote and heartbeat that it misses; what matters of it the member says itself.
        System.setProperty("org.slf4j.simpleLogger.log.io.microraft", System.getProperty("org.slf4j.simpleLogger.log.io.microraft", "off"));
        member = Member.start(config, layers);
    }

    /** How many the member takes at most. */
    int descriptors() {
        return Member.descriptors(config);
    }

    @Override
    public String name() {
        return "cluster";
    }

    /** The member has run since {@link #join}. */
    @Override
    public void start() { }

    @Override
    public int port() {
        return member.port();
    }

    @Override
    public void stopListening() {
        member.stop();
    }

    @Override
    public void awaitEnd() throws InterruptedException {
        member.stop();
        member.awaitEnd();
    }

    @Override
    public String signs() {
        return member.signs();
    }

    @Override
    public String tell(String words) {
        return member.tell(words);
    }
}
