package loadbalancer.proxy.transport;

import io.netty.buffer.ByteBuf;

/** Told of a connection's raw bytes before they are decoded. */
public interface RawBytesFilter {

  /**
   * Whether these bytes may be part of what is due on the connection; otherwise they are dropped.
   */
  boolean accepts(ByteBuf bytes);
}
