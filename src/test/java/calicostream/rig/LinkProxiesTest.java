// SPDX-License-Identifier: Apache-2.0
package calicostream.rig;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The relay on real sockets; what passes when is {@link ProxiedLinkTest}'s. */
class LinkProxiesTest {
    private final InetAddress here = InetAddress.getLoopbackAddress();
    private LinkProxies relays;
    private ServerSocket target;
    private LinkProxies.Link link;
    private Socket near;
    private Socket far;

    @BeforeEach
    void connect() throws IOException {
        relays = new LinkProxies();
        target = new ServerSocket(0, 8, here);
        target.setSoTimeout((int) ServerProcess.PATIENCE_MS);
        link =
                relays.open(
                        new InetSocketAddress(here, 0),
                        new InetSocketAddress(here, target.getLocalPort()));
        open();
    }

    private void open() throws IOException {
        near = new Socket(here, link.at().getPort());
        far = target.accept();
        far.setSoTimeout((int) ServerProcess.PATIENCE_MS);
        near.setSoTimeout((int) ServerProcess.PATIENCE_MS);
    }

    @AfterEach
    void end() throws IOException {
        relays.close();
        near.close();
        far.close();
        target.close();
    }

    private byte[] passed(int bytes) throws IOException {
        return new DataInputStream(far.getInputStream()).readNBytes(bytes);
    }

    @Test
    void megabytePassesWhole() throws Exception {
        byte[] sent = new byte[1 << 20];
        new Random(1).nextBytes(sent);
        FakeServers.daemon("writer", () -> near.getOutputStream().write(sent));
        assertArrayEquals(sent, passed(sent.length));
        assertEquals(sent.length, link.bytes());
        near.close();
        assertEquals(-1, far.getInputStream().read());
    }

    @Test
    void stallHoldsBackAndLetsGo() throws Exception {
        link.set(LinkFault.STALL);
        relays.settle();
        near.getOutputStream().write(7);
        far.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
        far.setSoTimeout((int) ServerProcess.PATIENCE_MS);
        link.set(LinkFault.NONE);
        assertEquals(7, far.getInputStream().read());
    }

    @Test
    void cutEndsConnectionsAndTakesNoNewOnes() throws Exception {
        link.set(LinkFault.CUT);
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        Socket again = new Socket(here, link.at().getPort());
        again.setSoTimeout((int) ServerProcess.PATIENCE_MS);
        assertThrows(SocketException.class, () -> again.getInputStream().read());
        link.set(LinkFault.NONE);
        relays.settle();
        open();
        near.getOutputStream().write(9);
        assertEquals(9, far.getInputStream().read());
    }

    @Test
    void rotChangesOneBitAndResetEndsAfterItsBytes() throws Exception {
        link.set(LinkFault.rot(4));
        relays.settle();
        near.getOutputStream().write(new byte[8]);
        assertArrayEquals(new byte[] {0, 0, 0, 4, 0, 0, 0, 4}, passed(8));
        link.set(LinkFault.resetAfter(5));
        relays.settle();
        near.getOutputStream().write(new byte[9]);
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertEquals(13, link.bytes());
    }

    @Test
    void delayAndThrottlePassAllLater() throws Exception {
        link.set(LinkFault.delay(80));
        relays.settle();
        long from = System.nanoTime();
        near.getOutputStream().write(1);
        assertEquals(1, far.getInputStream().read());
        assertTrue(System.nanoTime() - from >= 80_000_000L);
        link.set(LinkFault.throttle(10_000));
        relays.settle();
        from = System.nanoTime();
        near.getOutputStream().write(new byte[2_000]);
        assertEquals(2_000, passed(2_000).length);
        assertTrue(System.nanoTime() - from >= 150_000_000L);
    }
}
