package loadbalancer.proxy.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import org.junit.jupiter.api.Test;

/** Dropping what waits unread on a socket. */
class PeekableSocketChannelTest {

  /** Uses the two ends of a connection. */
  interface ConnectionTest {
    void run(PeekableSocketChannel socket, Socket peer) throws Exception;
  }

  private static void onConnection(ConnectionTest test) throws Exception {
    try (ServerSocketChannel listener = ServerSocketChannel.open()) {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      InetSocketAddress address = (InetSocketAddress) listener.getLocalAddress();
      try (Socket peer = new Socket(address.getAddress(), address.getPort());
          var accepted = listener.accept()) {
        peer.setTcpNoDelay(true);
        test.run(new PeekableSocketChannel(null, accepted), peer);
      }
    }
  }

  /** One peer that sends without end must not occupy the event loop. */
  @Test
  void skipDropsNoMoreThanItsLimit() throws Exception {
    onConnection(
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
            assertTrue(more >= 0 && more <= 5_000, "skipped " + more);
            skipped += more;
          }
          assertEquals(9_990, skipped);
          assertEquals(7, socket.skip(7));
          assertEquals(3, socket.skip(100));
          assertEquals(0, socket.skip(100));
        });
  }
}
