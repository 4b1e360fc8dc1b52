package loadbalancer.proxy.transport;

import io.netty.buffer.ByteBuf;

/** Filters the bytes received on a connection before they are decoded. Called on the event loop. */
public interface RawBytesFilter {

  /**
   * Whether the bytes may belong to a message that is expected on the connection. Other bytes are
   * discarded without being decoded.
   *
   * @param bytes the bytes of one read; must not be consumed or retained
   */
  boolean accepts(ByteBuf bytes);
}
