// SPDX-License-Identifier: Apache-2.0
package calicostream;

import calicostream.adapter.SimulatorAdapter;
import calicostream.config.SettingsException;
import calicostream.daemon.ReloadSignal;
import calicostream.daemon.ServerAssembly;
import calicostream.platform.ConfigFileWatcher;
import calicostream.platform.FrontEndConfig;
import calicostream.platform.FrontEndServer;
import java.io.IOException;
import java.net.BindException;
import java.nio.file.Path;

/** The program: a front end on sockets, or the simulator's adapter. */
public final class Main {
    private static final int FAILED = 1;
    private static final int UNUSABLE = 2;

    private Main() {}

    /**
     * Runs the mode that the one argument names.
     *
     * @param args {@code serve} or {@code adapter}
     */
    public static void main(String[] args) throws IOException {
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "adapter":
                System.exit(SimulatorAdapter.run(System.in, System.out, System.err));
                break;
            case "serve":
                serve();
                break;
            default:
                System.err.println("usage: java -jar calicostream.jar serve|adapter");
                System.exit(UNUSABLE);
        }
    }

    /** What a variable of the environment names, or null. */
    private static Path named(String variable) {
        String path = System.getenv(variable);
        return path == null || path.isEmpty() ? null : Path.of(path);
    }

    private static void serve() {
        // Looking for a provider of logs goes through every jar of the class path.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        try {
            ReloadSignal reloadSignal = ReloadSignal.install();
            String path = System.getenv("NODE_CONFIG");
            if (path == null) {
                throw new SettingsException("bad configuration: NODE_CONFIG is not set");
            }
            Path file = Path.of(path);
            ConfigFileWatcher watch =
                    reloadSignal.isIgnored()
                            ? new ConfigFileWatcher(file)
                            : null; // Before the file is read.
            Path deploy = Path.of(System.getProperty("calicostream.deploy", "deploy"));
            FrontEndServer node =
                    ServerAssembly.assemble(
                            FrontEndConfig.read(file),
                            deploy,
                            named("TMPDIR"),
                            named("NODE_CLUSTER")); // TMPDIR: where processes of this front end
            // find each other
            reloadSignal.setHandler(() -> node.reload(file));
            if (watch != null) {
                node.follow(watch);
            }
            node.run();
        } catch (SettingsException e) {
            System.err.println("calicostream: " + e.getMessage());
            System.exit(UNUSABLE);
        } catch (BindException e) {
            System.err.println("calicostream: can't listen: " + e.getMessage());
            System.exit(UNUSABLE);
        } catch (IOException e) {
            System.err.println("calicostream: can't go on: " + e);
            System.exit(FAILED);
        }
    }
}
