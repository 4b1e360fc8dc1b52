package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;
import loadbalancer.proxy.http.MemoryBudget;
import loadbalancer.proxy.http.UpstreamResponse;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ResponseWriterTest {

  private static final int BUDGET_BYTES = 1000;

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
  private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
  private final ResponseMemoryPool pool = new ResponseMemoryPool(new ConnectionTable(1), budget);
  private ResponseWriter writer;

  @BeforeEach
  void createWriter() {
    writer = new ResponseWriter(channel.pipeline().lastContext(), pool);
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

  /** Guards against responses that nobody reads and that fill the memory. */
  @Test
  void responseBeyondTheMemoryOfUnreadOnesClosesTheConnection() {
    writer.write(served(BUDGET_BYTES));
    assertEquals(BUDGET_BYTES, budget.reservedBytes());
    writer.write(served(1));
    assertFalse(channel.isOpen());
  }

  @Test
  void memoryIsReleasedOnceTheClientHasRead() {
    writer.write(served(BUDGET_BYTES));
    socket.writes.remove().setSuccess();
    assertEquals(0, budget.reservedBytes());
  }

  /** Guards against a connection that stays open though its response can never be sent. */
  @Test
  void failedWriteClosesTheConnection() {
    writer.write(served(1));
    socket.writes.remove().setFailure(new OutOfMemoryError("expected by the test"));
    assertFalse(channel.isOpen());
    assertEquals(0, budget.reservedBytes());
  }

  private static FullHttpResponse served(int bytes) {
    return ResponseFactory.served(new UpstreamResponse(new byte[bytes], null));
  }

  @Test
  void nothingIsPendingOnceTheClientHasRead() {
    writer.write(ResponseFactory.readiness(true));
    socket.writes.remove().setSuccess();
    assertFalse(writer.hasPendingWrites());
    assertEquals(0, writer.pendingNanos(System.nanoTime()));
  }
}
