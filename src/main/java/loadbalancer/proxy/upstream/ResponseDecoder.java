package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import loadbalancer.proxy.http.RetainedHeadersFactory;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * Decodes responses as strictly as requests, and drops header fields that the proxy does not read.
 * Received bytes pass through a filter first, so that bytes that arrive when no response is
 * expected are never decoded.
 *
 * <p>By default Netty rejects malformed header lines in requests but accepts them in responses: the
 * line "no colon here" would become a header named "no".
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final HttpDecoderConfig CONFIG =
      RetainedHeadersFactory.strictDecoderConfig(
          List.of(
              ResponseHeadValidator.UNPROCESSED_HEADER,
              HttpHeaderNames.CONTENT_TYPE,
              HttpHeaderNames.CONTENT_LENGTH,
              HttpHeaderNames.TRANSFER_ENCODING,
              HttpHeaderNames.CONNECTION));

  private RawBytesFilter filter;

  /**
   * Whether header or trailer lines may follow. They are read strictly, but not the status line:
   * without a reason phrase it may end with a space.
   */
  private boolean expectsFields;

  /** Creates a decoder; {@link #setFilter} must be called before the first read. */
  ResponseDecoder() {
    super(CONFIG);
  }

  /** Sets the filter that received bytes pass through; must be called before the first read. */
  void setFilter(RawBytesFilter rawBytesFilter) {
    filter = rawBytesFilter;
  }

  /** Whether received bytes are buffered that have not been decoded into a message. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    expectsFields = true;
    return super.createMessage(initialLine);
  }

  /**
   * Returns true while header and trailer lines are read, which makes Netty apply its strict rules
   * for requests.
   */
  @Override
  protected boolean isDecodingRequest() {
    return expectsFields;
  }

  /**
   * Called by Netty once the header lines have been read. The body of a response without a length
   * lasts until the connection closes; as a request, it would have none.
   */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    expectsFields = HttpUtil.isTransferEncodingChunked(message);
    return super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(context, buffer, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      expectsFields = false;
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
