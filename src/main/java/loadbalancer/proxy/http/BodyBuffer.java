package loadbalancer.proxy.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * The body of one message while it is received. Its memory grows with the bytes that have arrived,
 * whatever length the peer announced. Not thread-safe.
 */
public final class BodyBuffer {

  private static final int MAX_BYTES = UpstreamResponse.MAX_BODY_BYTES;

  private static final int MIN_CAPACITY_BYTES = 1024;
  private static final byte[] EMPTY = {};

  private byte[] bytes = EMPTY;
  private int size;

  /** Whether a chunk can be appended without exceeding the protocol's limit. */
  public boolean fits(ByteBuf chunk) {
    return chunk.readableBytes() <= MAX_BYTES - size;
  }

  /** The memory that the buffer takes after a chunk that fits has been appended, in bytes. */
  public int capacityWith(ByteBuf chunk) {
    int newSize = size + chunk.readableBytes();
    if (newSize <= bytes.length) {
      return bytes.length;
    }
    int grown = Math.max(MIN_CAPACITY_BYTES, 2 * bytes.length);
    return Math.min(MAX_BYTES, Math.max(newSize, grown));
  }

  /** Appends a chunk that fits; its bytes are consumed. */
  public void append(ByteBuf chunk) {
    int capacity = capacityWith(chunk);
    if (capacity > bytes.length) {
      bytes = Arrays.copyOf(bytes, capacity);
    }
    int length = chunk.readableBytes();
    chunk.readBytes(bytes, size, length);
    size += length;
  }

  /** Returns the bytes received so far; the buffer must not be used any more. */
  public byte[] toByteArray() {
    return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
  }
}
