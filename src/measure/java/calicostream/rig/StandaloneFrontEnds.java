// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A clustered fleet, and for some of its processes a twin without a cluster under the same load at
 * the same time. What is done to such a process is done to its twin as well, so that what is left
 * between the two is the cluster alone. One thread.
 */
final class StandaloneFrontEnds implements AutoCloseable {
    final ClusterFleet on;
    final ClusterFleet off;
    final Set<Integer> twinned;
    private final List<Integer> starting = new ArrayList<>();

    StandaloneFrontEnds(Path folder, ClusterFleet.Plan plan, Set<Integer> twinned, long askEveryMs)
            throws IOException {
        this.twinned = twinned;
        on =
                new ClusterFleet(
                        Files.createDirectories(folder.resolve("on")),
                        plan,
                        new OperationHistory(),
                        askEveryMs);
        off =
                new ClusterFleet(
                        Files.createDirectories(folder.resolve("off")),
                        new ClusterFleet.Plan(plan.members(), plan.voters(), false, ""),
                        new OperationHistory(),
                        askEveryMs);
    }

    void startAll() throws Exception {
        for (int each : on.members()) {
            launch(each);
        }
        while (!look()) {
            Await.pass(10);
            starting.forEach(each -> on.proc(each).assertAlive());
        }
    }

    void signal(int member, String signal) throws Exception {
        on.proc(member).signal(signal);
        if (twinned.contains(member)) {
            off.proc(member).signal(signal);
        }
    }

    void kill(int member) throws Exception {
        on.kill(member);
        if (twinned.contains(member)) {
            off.kill(member);
        }
    }

    /** A planned stop of both, of front ends that are asked nothing more. */
    void stop(int member) throws Exception {
        on.load.end(member, false);
        off.load.end(member, false);
        signal(member, "TERM");
        on.proc(member).awaitExit();
        if (twinned.contains(member)) {
            off.proc(member).awaitExit();
        }
    }

    /** Starts both again and does not wait; {@link #look} takes them up. */
    void launch(int member) throws IOException {
        on.launch(member);
        if (twinned.contains(member)) {
            off.launch(member);
        }
        starting.add(member);
    }

    /** Clients ask those that have come up since; true if none is still starting. */
    boolean look() throws Exception {
        for (int each : List.copyOf(starting)) {
            boolean twin = twinned.contains(each);
            if (on.proc(each).hasSaid("listening on port")
                    && (!twin || off.proc(each).hasSaid("listening on port"))) {
                on.awaitServing(each);
                if (twin) {
                    off.awaitServing(each);
                }
                starting.remove((Integer) each);
            }
        }
        return starting.isEmpty();
    }

    /** Those that run and are not starting. */
    List<Integer> up() throws Exception {
        look();
        List<Integer> out = new ArrayList<>(on.members());
        out.removeAll(starting);
        return out;
    }

    @Override
    public void close() throws IOException {
        try (on;
                off) {
            on.relays.settle();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
