package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * Decodes responses as strictly as requests are decoded, and offers the raw bytes to a filter
 * first: what arrives where no response is due is never decoded.
 *
 * <p>Netty tolerates malformed header lines in responses only: a line "no colon here" would become
 * a header named "no".
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private RawBytesFilter filter;

  /**
   * Set from a response's status line to its last content; the status line itself may end in a
   * space where it gives no reason phrase.
   */
  private boolean isPastStatusLine;

  /** Makes a decoder; its filter is to be set before the first read. */
  ResponseDecoder() {
    super(new HttpDecoderConfig().setStrictLineParsing(true));
  }

  /** Sets the filter of raw bytes; to be called before the first read. */
  void setFilter(RawBytesFilter rawBytesFilter) {
    filter = rawBytesFilter;
  }

  /** Whether bytes are left that belong to no message decoded so far. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    isPastStatusLine = true;
    return super.createMessage(initialLine);
  }

  /**
   * Decides how strictly header lines are read. Also says that a message without a length has no
   * body, which has no effect here: such a response is rejected by its head.
   */
  @Override
  protected boolean isDecodingRequest() {
    return isPastStatusLine;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(context, buffer, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      isPastStatusLine = false;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes && !filter.accepts(bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.channelRead(context, message);
  }
}
