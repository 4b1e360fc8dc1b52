package loadbalancer.proxy.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpContent;
import java.io.IOException;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListParser;

/**
 * Parses the response body of a watch into endpoint lists while it arrives. Chunk and line
 * boundaries do not matter: a list may span several lines. Passes each complete list on as an
 * {@link EndpointList}, before the {@link HttpContent} that completed it. Not thread-safe: used on
 * the event loop only.
 */
final class EndpointListDecoder extends ChannelInboundHandlerAdapter {

  /**
   * Bounds the memory that an unterminated list can take. A fleet of 50,000 endpoints has a list of
   * 7.5 MB.
   */
  static final int MAX_LIST_BYTES = 16 << 20;

  private final EndpointListParser parser = new EndpointListParser();
  private boolean lastContentBlank;

  /** The size of the parts received so far of a list that is not complete. */
  private int partialListBytes;

  /** Whether a list has started arriving and is not complete yet. */
  boolean hasPartialList() {
    return parser.hasPartialList();
  }

  /** Whether the last content was only white space: a heartbeat, or a part of a list. */
  boolean isLastContentBlank() {
    return lastContentBlank;
  }

  /** {@inheritDoc} Malformed lists are reported as exceptions to the next handler. */
  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
    if (message instanceof HttpContent body) {
      lastContentBlank = body.content().forEachByte(b -> Character.isWhitespace(b & 0xff)) < 0;
      parse(context, body.content());
    }
    context.fireChannelRead(message);
  }

  private void parse(ChannelHandlerContext context, ByteBuf content) throws IOException {
    parser.parse(ByteBufUtil.getBytes(content), context::fireChannelRead);
    partialListBytes = hasPartialList() ? partialListBytes + content.readableBytes() : 0;
    if (partialListBytes > MAX_LIST_BYTES) {
      throw new TooLongFrameException("list longer than " + MAX_LIST_BYTES + " bytes");
    }
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) throws IOException {
    parser.close();
  }
}
