package loadbalancer.proxy.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;

/**
 * Splits the body of a watch's response into endpoint lists, wherever its chunks and lines end: a
 * list may be indented over several lines. Passes each complete list on as a buffer, ahead of the
 * message that completed it. Belongs to the event loop.
 */
final class EndpointListDecoder extends JsonObjectDecoder {

  /** Far above any list; one without an end must not fill the memory. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  private boolean lastPartBlank;

  /** A decoder for the body of one response. */
  EndpointListDecoder() {
    super(MAX_LIST_BYTES);
  }

  /**
   * Reads one complete list.
   *
   * @throws IOException if the text is not JSON
   * @throws loadbalancer.config.WireFormatException if a field is missing or of the wrong type
   */
  static EndpointList parse(ByteBuf listText) throws IOException {
    return EndpointList.fromJson(
        JsonObjectReader.parse("list", listText.toString(StandardCharsets.UTF_8)));
  }

  /** Whether a list has begun that is not complete yet. */
  boolean hasPartialList() {
    return actualReadableBytes() > 0;
  }

  /** Whether the latest part of the body was white space only: a heartbeat, or inside a list. */
  boolean isLastPartBlank() {
    return lastPartBlank;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof HttpContent part) {
      lastPartBlank = part.content().forEachByte(b -> Character.isWhitespace(b & 0xff)) < 0;
      super.channelRead(context, part.content().retain());
    }
    context.fireChannelRead(message);
  }
}
