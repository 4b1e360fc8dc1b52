package loadbalancer.proxy.transport;

import io.netty.buffer.ByteBuf;

/** Sees a connection's raw bytes before they are decoded. Called on the event loop. */
public interface RawBytesFilter {

  /**
   * Whether the bytes may belong to a message that is due on the connection; otherwise they are
   * dropped without being decoded.
   *
   * @param bytes the bytes read; not to be consumed or kept
   */
  boolean accepts(ByteBuf bytes);
}
