package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ResponseWriterTest {

  /** Stands for a socket whose client does not read: keeps all writes pending. */
  private static final class StalledSocket extends ChannelOutboundHandlerAdapter {

    private final Queue<ChannelPromise> writes = new ArrayDeque<>();

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      writes.add(promise);
    }
  }

  private final StalledSocket socket = new StalledSocket();
  private final EmbeddedChannel channel =
      new EmbeddedChannel(socket, new ChannelInboundHandlerAdapter());
  private ResponseWriter writer;

  @BeforeEach
  void createWriter() {
    writer = new ResponseWriter(channel.pipeline().lastContext());
  }

  /** Guards against clients that read no small response and keep their connection for good. */
  @Test
  void smallResponseThatIsNotReadIsPending() {
    writer.write(ResponseFactory.readiness(true));
    assertTrue(writer.hasPendingWrites());
    assertTrue(writer.pendingNanos(System.nanoTime() + 1) > 0);
  }

  /** Guards against the same for a connection that is to be closed after its responses. */
  @Test
  void closeWaitsForTheResponseBeforeItAndIsPendingMeanwhile() {
    writer.write(ResponseFactory.readiness(true));
    writer.closeAfterWrites();
    socket.writes.remove().setSuccess();
    assertTrue(channel.isOpen());
    assertTrue(writer.hasPendingWrites());
    socket.writes.remove().setSuccess();
    assertFalse(channel.isOpen());
  }

  @Test
  void nothingIsPendingOnceTheClientHasRead() {
    writer.write(ResponseFactory.readiness(true));
    socket.writes.remove().setSuccess();
    assertFalse(writer.hasPendingWrites());
    assertEquals(0, writer.pendingNanos(System.nanoTime()));
  }
}
