package loadbalancer.proxy.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import org.junit.jupiter.api.Test;

/** Tests discarding unread input of a socket. */
class DirectReadSocketChannelTest {

  /** A test body that gets both ends of a connection. */
  interface ConnectionTestBody {
    void run(DirectReadSocketChannel socket, Socket peer) throws Exception;
  }

  private static void withConnection(ConnectionTestBody test) throws Exception {
    try (ServerSocketChannel listener = ServerSocketChannel.open()) {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
      try (Socket peer = new Socket(address.getAddress(), address.getPort());
          var accepted = listener.accept()) {
        peer.setTcpNoDelay(true);
        test.run(new DirectReadSocketChannel(null, accepted), peer);
      }
    }
  }

  /** Without a limit, a peer that sends continuously could keep the event loop busy. */
  @Test
  void skipDiscardsNoMoreThanItsLimit() throws Exception {
    withConnection(
        (socket, peer) -> {
          assertEquals(0, socket.skip(10));
          peer.getOutputStream().write(new byte[10_000]);
          int first = socket.skip(1);
          while (first == 0) {
            first = socket.skip(1);
          }
          assertEquals(1, first);
          int skipped = first;
          while (skipped < 9_990) {
            int more = socket.skip(Math.min(5_000, 9_990 - skipped));
            assertTrue(more >= 0 && more <= 5_000, "skipped bytes: " + more);
            skipped += more;
          }
          assertEquals(9_990, skipped);
          assertEquals(7, socket.skip(7));
          assertEquals(3, socket.skip(100));
          assertEquals(0, socket.skip(100));
        });
  }
}
