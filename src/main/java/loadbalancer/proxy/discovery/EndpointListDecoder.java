package loadbalancer.proxy.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;

/**
 * Cuts the body of a watch's answer into lists, wherever its chunks and its lines end: a list may
 * come indented over several lines. Whole lists go on ahead of the message that completed them.
 */
final class EndpointListDecoder extends JsonObjectDecoder {

  /** Far above any list; one without an end must not fill the memory. */
  private static final int MAX_LIST = 4 << 20;

  private boolean blank;

  EndpointListDecoder() {
    super(MAX_LIST);
  }

  /** Whether a list has begun that is not whole yet. */
  boolean begun() {
    return actualReadableBytes() > 0;
  }

  /**
   * Whether the latest part of the body held nothing of a list: a heartbeat, though it may stand
   * inside one.
   */
  boolean blank() {
    return blank;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (message instanceof HttpContent part) {
      blank = part.content().forEachByte(b -> Character.isWhitespace(b & 0xff)) < 0;
      super.channelRead(ctx, part.content().retain());
    }
    ctx.fireChannelRead(message);
  }
}
