// SPDX-License-Identifier: Apache-2.0
package calicostream.cluster.process;

import calicostream.cluster.ClusterException;
import calicostream.cluster.config.ClusterConfig;
import calicostream.durable.DurableException;
import calicostream.durable.DurableLog;
import java.io.IOException;
import java.net.BindException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A member of the cluster, running on a thread of its own. {@link #start} opens the folder and the
 * address and throws what must end the program; no later failure does: the member shows it in its
 * status, and the process around it goes on. All methods may be called by any thread; only {@link
 * #awaitTermination} blocks.
 */
public final class Member {
    private static final Logger LOG = LoggerFactory.getLogger(Member.class);

    /** Files of both folders, the listener and a reserve. */
    private static final int BASE_FILE_DESCRIPTORS = 24;

    /** A link each way, and one that replaces another. */
    private static final int FILE_DESCRIPTORS_PER_PEER = 3;

    private final ClusterConfig config;
    private final MemberNode node;
    private final Thread thread;

    private Member(ClusterConfig config, MemberNode node) {
        this.config = config;
        this.node = node;
        thread = new Thread(node::run, "cluster-" + config.self().name());
        thread.setDaemon(true);
    }

    /**
     * Opens all that the member needs and starts its thread.
     *
     * @param services the same at all members; owned by the member from now on
     * @throws MemberException if the folder or the address can't be had, or must not be used
     */
    public static Member start(ClusterConfig config, List<ReplicatedService> services)
            throws IOException {
        Member member;
        try {
            member = new Member(config, openNode(config, services));
        } catch (DurableException e) {
            throw MemberException.of(e);
        } catch (BindException e) {
            throw new MemberException(
                    "member-address-taken",
                    config.self().address() + ": " + e.getMessage(),
                    "see which process listens there, or give the member another address, at all"
                            + " members");
        }
        member.thread.start();
        return member;
    }

    /** The node owns the log once it is made; until then a failure closes the log here. */
    private static MemberNode openNode(ClusterConfig config, List<ReplicatedService> services)
            throws IOException {
        DurableLog log = MemberDirectory.openLog(config, DiskProvider.fromSystemProperty());
        boolean isOpen = false;
        try {
            MemberNode node = new MemberNode(config, services, log);
            isOpen = true;
            return node;
        } finally {
            if (!isOpen) {
                log.close();
            }
        }
    }

    /** The greatest number of file descriptors that a member takes. */
    public static int maxFileDescriptors(ClusterConfig config) {
        return BASE_FILE_DESCRIPTORS + FILE_DESCRIPTORS_PER_PEER * config.peerAddresses().size();
    }

    /** The status as a JSON object, at most some tenths of a second old. */
    public String statusJson() {
        return MemberStatusJson.encode(config, node.status());
    }

    /** The port of the cluster's address. */
    public int port() {
        return config.self().address().getPort();
    }

    /**
     * Accepts a command of operators, whose progress the status then shows.
     *
     * @return null if the text is no command, empty if it was accepted, else why it was rejected
     */
    public String execute(String text) {
        try {
            MemberStatus status = node.status();
            MembershipCommand command = MembershipCommand.parse(text, status).orElse(null);
            if (command == null) {
                return null;
            }
            if (MembershipCommandRunner.isUnderWay(status.commandProgress())) {
                throw new ClusterException.InvalidVoterChange(
                        text, "another wish is under way: " + status.commandProgress());
            }
            LOG.info("member {}: operator command {}", status.self(), text);
            node.execute(command);
            return "";
        } catch (ClusterException e) {
            return e.getMessage() + "; " + e.remedy();
        }
    }

    /** Starts the planned stop; a further call changes nothing. */
    public void stop() {
        node.stop();
    }

    /** Waits for the end of the planned stop, for a bounded time. */
    public void awaitTermination() throws InterruptedException {
        thread.join(MemberNode.STOP_TIMEOUT_MILLIS);
    }
}
