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
 * Splits the response body of a watch into endpoint lists. Chunk and line boundaries do not matter:
 * a list may span several lines. Passes each complete list on as a {@link ByteBuf}, before the
 * {@link HttpContent} that completed it. Not thread-safe: used on the event loop only.
 */
final class EndpointListDecoder extends JsonObjectDecoder {

  /** Far larger than any real list; bounds the memory that an unterminated list can take. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  private boolean lastContentBlank;

  /** Creates a decoder for the body of one response. */
  EndpointListDecoder() {
    super(MAX_LIST_BYTES);
  }

  /**
   * Parses one complete list.
   *
   * @throws IOException if the text is not valid JSON
   * @throws loadbalancer.config.WireFormatException if a required field is missing or a field has
   *     the wrong type
   */
  static EndpointList parse(ByteBuf listText) throws IOException {
    return EndpointList.fromJson(
        JsonObjectReader.parse("list", listText.toString(StandardCharsets.UTF_8)));
  }

  /** Returns whether a list has started arriving and is not complete yet. */
  boolean hasPartialList() {
    return actualReadableBytes() > 0;
  }

  /** Returns whether the last content was only white space: a heartbeat, or a part of a list. */
  boolean isLastContentBlank() {
    return lastContentBlank;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof HttpContent body) {
      lastContentBlank = body.content().forEachByte(b -> Character.isWhitespace(b & 0xff)) < 0;
      super.channelRead(context, body.content().retain());
    }
    context.fireChannelRead(message);
  }
}
