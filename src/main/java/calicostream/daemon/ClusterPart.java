// SPDX-License-Identifier: Apache-2.0
package calicostream.daemon;

import calicostream.SettingsException;
import calicostream.cluster.config.ClusterConfig;
import java.nio.file.Path;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cluster as a part of the program: so far its settings, which are read and told. */
final class ClusterPart {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterPart.class);
    private static final String LIBRARY = "org/tomlj/Toml.class";
    private final ClusterConfig config;

    private ClusterPart(ClusterConfig config) {
        this.config = config;
    }

    /** Null where the file leaves the cluster off. */
    static ClusterPart read(Path file) {
        if (ClusterPart.class.getClassLoader().getResource(LIBRARY) == null) {
            throw new SettingsException("bad configuration: NODE_CLUSTER names " + file + ", but the class path has not the "
                    + "libraries of target/lib-cluster; README.md has the command [cluster-libraries-missing]");
        }
        return ClusterConfig.read(file).map(ClusterPart::new).orElse(null);
    }

    /** Until members run by these settings, who turned the cluster on must not take it for on. */
    void tell() {
        LOG.warn("cluster {}: member {} is configured as {}, but this version runs no members", config.cluster(),
                config.self().name(), config.isVoter() ? "a voter" : "no voter");
    }
}
