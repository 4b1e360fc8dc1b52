package loadbalancer.proxy.transport;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.PreferHeapByteBufAllocator;

/**
 * The buffers of all connections. They lie in the heap, where the limits on the memory of requests
 * and responses apply. Direct buffers would have a limit of their own, which the peers could reach
 * by what they hold back; a read or write that fails for it leaves its connection without an end.
 * The JDK copies what is read or written through one direct buffer of the event loop's thread.
 */
public final class HeapBuffers {

  /** Allocates buffers in the heap; thread-safe. */
  public static final ByteBufAllocator ALLOCATOR =
      new PreferHeapByteBufAllocator(new UnpooledByteBufAllocator(false, true));

  private HeapBuffers() {}
}
