// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import calicostream.rig.LinkFault.Kind;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.Channel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All relays, on one selector thread of their own; {@link ProxiedLink} decides, this moves the
 * bytes. Any thread may open links and switch faults. An error on a connection ends that connection
 * as it would end without a relay; {@link #close} ends everything.
 */
final class LinkProxies implements AutoCloseable {
    private final Selector selector = Selector.open();
    private final Queue<Runnable> work = new ConcurrentLinkedQueue<>();
    private final List<Both> connections = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "relays");
    private volatile boolean closed;

    LinkProxies() throws IOException {
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * One directed link: who connects to {@link #at} reaches the target, by the fault that is set.
     */
    final class Link {
        private final ServerSocketChannel listener = ServerSocketChannel.open();
        private final InetSocketAddress target;
        private final AtomicLong taken = new AtomicLong();
        private final AtomicLong bytes = new AtomicLong();
        private LinkFault fault = LinkFault.NONE;

        private Link(InetSocketAddress at, InetSocketAddress target) throws IOException {
            this.target = target;
            listener.bind(at).configureBlocking(false);
        }

        InetSocketAddress at() throws IOException {
            return (InetSocketAddress) listener.getLocalAddress();
        }

        /** Takes hold soon, not at once; {@link LinkProxies#settle} waits for it. */
        void set(LinkFault to) {
            post(
                    () -> {
                        fault = to;
                        long now = System.nanoTime();
                        connections.stream()
                                .filter(c -> c.link == this)
                                .forEach(c -> c.set(to, now));
                    });
        }

        /** Connections that came so far. */
        long taken() {
            return taken.get();
        }

        /** Bytes passed on so far, both directions. */
        long bytes() {
            return bytes.get();
        }
    }

    Link open(InetSocketAddress at, InetSocketAddress target) throws IOException {
        Link link = new Link(at, target);
        post(() -> register(link));
        return link;
    }

    private void register(Link link) {
        try {
            link.listener.register(selector, SelectionKey.OP_ACCEPT, link);
        } catch (IOException e) {
            throw new IllegalStateException("the relay's own listener is gone", e);
        }
    }

    /** Returns once all that was switched before has taken hold. */
    void settle() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        post(done::countDown);
        if (!done.await(20, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the relays' thread is stuck or has ended");
        }
    }

    private void post(Runnable task) {
        work.add(task);
        selector.wakeup();
    }

    private void run() {
        try {
            while (!closed) {
                long now = System.nanoTime();
                long next =
                        connections.stream()
                                .mapToLong(c -> c.nextLook(now))
                                .min()
                                .orElse(Long.MAX_VALUE);
                if (next == Long.MAX_VALUE) {
                    selector.select();
                } else if (next <= now) {
                    selector.selectNow();
                } else {
                    selector.select(Math.max(1, (next - now) / 1_000_000));
                }
                for (Runnable task = work.poll(); task != null; task = work.poll()) {
                    task.run();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid() && key.attachment() instanceof Link link) {
                        accept(link);
                    } else if (key.attachment() instanceof Both both) {
                        both.ready = true;
                    }
                }
                selector.selectedKeys().clear();
                long woken = System.nanoTime();
                List.copyOf(connections).stream()
                        .filter(c -> c.ready || c.nextLook(woken) <= woken)
                        .forEach(Both::turn);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the relays' selector failed", e);
        } finally {
            selector.keys().forEach(key -> shut(key.channel()));
            connections.forEach(Both::close);
        }
    }

    private void accept(Link link) throws IOException {
        SocketChannel near = link.listener.accept();
        if (near == null) {
            return;
        }
        link.taken.incrementAndGet();
        if (link.fault.kind() == Kind.CUT) {
            reset(near);
            return;
        }
        connections.add(new Both(link, near));
    }

    private static void reset(SocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // It is over already, which is what is wanted.
        }
        shut(channel);
    }

    private static void shut(Channel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing can be done about a channel that does not close, and nothing is read from it.
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        selector.close();
    }

    /** One relayed connection with its two directions. */
    private final class Both {
        final Link link;
        final SocketChannel near;
        final SocketChannel far = SocketChannel.open();
        final SelectionKey nearKey;
        final SelectionKey farKey;
        final Flow forth;
        final Flow back;
        boolean ready = true;

        Both(Link link, SocketChannel near) throws IOException {
            this.link = link;
            this.near = near;
            near.configureBlocking(false);
            far.configureBlocking(false);
            near.setOption(StandardSocketOptions.TCP_NODELAY, true);
            far.setOption(StandardSocketOptions.TCP_NODELAY, true);
            nearKey = near.register(selector, 0, this);
            farKey = far.register(selector, 0, this);
            forth = new Flow(near, far);
            back = new Flow(far, near);
            set(link.fault, System.nanoTime());
            try {
                far.connect(link.target);
            } catch (IOException e) {
                close();
            }
        }

        void set(LinkFault fault, long now) {
            forth.passage.set(fault, now);
            back.passage.set(fault, now);
            ready = true;
        }

        long nextLook(long now) {
            return Math.min(forth.nextLook(now), back.nextLook(now));
        }

        void close() {
            reset(near);
            reset(far);
        }

        void turn() {
            ready = false;
            try {
                if (!far.isConnected() && near.isOpen() && far.isConnectionPending()) {
                    far.finishConnect();
                }
                long now = System.nanoTime();
                boolean ended = near.isOpen() && far.isOpen() && forth.turn(now) | back.turn(now);
                if (forth.passage.isOver() || back.passage.isOver()) {
                    close();
                } else if (ended) {
                    shut(near);
                    shut(far);
                }
                if (near.isOpen()) {
                    nearKey.interestOps(forth.readInterest() | back.writeInterest());
                    farKey.interestOps(
                            far.isConnected()
                                    ? back.readInterest() | forth.writeInterest()
                                    : SelectionKey.OP_CONNECT);
                }
            } catch (IOException | CancelledKeyException e) {
                close(); // As either end would see it without a relay.
            }
            if (!near.isOpen()) {
                connections.remove(this);
            }
        }

        /** One direction: the bytes that wait, and who decides about them. */
        private final class Flow {
            final SocketChannel from;
            final SocketChannel to;
            final ProxiedLink passage = new ProxiedLink();
            final ByteBuffer bytes =
                    ByteBuffer.allocate(
                            ProxiedLink.ROOM); // What waits, from 0 to what the passage holds.
            boolean ended;
            boolean blocked;

            Flow(SocketChannel from, SocketChannel to) {
                this.from = from;
                this.to = to;
            }

            /** True once the sender has ended and all of it is passed on. */
            boolean turn(long now) throws IOException {
                int held = passage.held();
                int room = from.isConnected() && !ended ? passage.room() : 0;
                if (room > 0) {
                    int n = from.read(bytes.limit(held + room).position(held));
                    ended = n < 0;
                    if (n > 0) {
                        passage.took(n, now);
                    }
                }
                int due = to.isConnected() ? passage.due(now) : 0;
                blocked = due > 0 && write(due) < due;
                return ended && passage.held() == 0;
            }

            private int write(int due) throws IOException {
                byte[] out =
                        Arrays.copyOf(
                                bytes.array(),
                                due); // A spoilt byte that does not go out now may be whole later.
                for (int i = 0; i < due; i++) {
                    out[i] ^= passage.spoils(i) ? 4 : 0;
                }
                int n = to.write(ByteBuffer.wrap(out));
                bytes.limit(passage.held()).position(n);
                bytes.compact();
                passage.gave(n);
                link.bytes.addAndGet(n);
                return n;
            }

            long nextLook(long now) {
                return to.isConnected() && !blocked ? passage.nextLook(now) : Long.MAX_VALUE;
            }

            int readInterest() {
                return !ended && passage.room() > 0 ? SelectionKey.OP_READ : 0;
            }

            int writeInterest() {
                return blocked ? SelectionKey.OP_WRITE : 0;
            }
        }
    }
}
