package loadbalancer.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import loadbalancer.proxy.http.RequestHeaders;
import loadbalancer.proxy.http.RetainedHeadersFactory;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * Decodes the HTTP requests of one connection; lines must end in CRLF, and header fields that the
 * proxy does not read are dropped. Bytes that the filter does not accept are dropped before
 * decoding. Not thread-safe: for use on the event loop.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  private static final HttpDecoderConfig CONFIG =
      RetainedHeadersFactory.strictDecoderConfig(
          List.of(
              RequestHeaders.CORRELATION_ID,
              RequestHeaders.SERVICE_CLASS,
              RequestHeaders.ACCOUNT,
              RequestHeaders.SESSION_KEY,
              RequestHeaders.TIME_LEFT_MILLIS,
              RequestHeaders.IDEMPOTENCY_KEY,
              RequestHeaders.WORK_HINT_MICROS,
              RequestHeaders.CLIENT_RETRY,
              HttpHeaderNames.HOST,
              HttpHeaderNames.CONTENT_TYPE,
              HttpHeaderNames.CONTENT_LENGTH,
              HttpHeaderNames.TRANSFER_ENCODING,
              HttpHeaderNames.CONNECTION,
              HttpHeaderNames.EXPECT));

  /**
   * The most parts of messages (heads, chunks) that are decoded in one turn of the event loop. A
   * read of the smallest possible chunks has over a thousand, which would take milliseconds.
   */
  private static final int MAX_PARTS_PER_TURN = 64;

  private final RawBytesFilter filter;
  private ChannelHandlerContext context;
  private Runnable turnListener = () -> {};
  private int partsInTurn;
  private boolean isPaused;

  /** Creates the decoder of one connection, whose filter sees all bytes before they are decoded. */
  public RequestDecoder(RawBytesFilter filter) {
    super(CONFIG);
    this.filter = filter;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) throws Exception {
    super.handlerAdded(handlerContext);
    context = handlerContext;
  }

  /**
   * Sets what is called when the connection has had its turn of decoding; it has to call {@link
   * #pause}, and {@link #resume} later.
   */
  void setTurnListener(Runnable listener) {
    turnListener = listener;
  }

  /** Returns whether received bytes are buffered that have not been decoded. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Keeps the received bytes that follow the current request until {@link #resume}. */
  void pause() {
    isPaused = true;
  }

  /** Decodes the bytes that were kept since {@link #pause}; does nothing if it is not paused. */
  void resume() {
    if (!isPaused) {
      return;
    }
    isPaused = false;
    context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    context.pipeline().fireChannelReadComplete();
  }

  /** Decodes nothing more for a client that has disconnected, so that no request is submitted. */
  @Override
  protected void decode(ChannelHandlerContext handlerContext, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (isPaused || !handlerContext.channel().isActive()) {
      return;
    }
    if (partsInTurn >= MAX_PARTS_PER_TURN) {
      turnListener.run();
      return;
    }
    partsInTurn++;
    super.decode(handlerContext, buffer, out);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) throws Exception {
    partsInTurn = 0;
    super.channelReadComplete(handlerContext);
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) throws Exception {
    if (message instanceof ByteBuf bytes && !filter.accepts(bytes)) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.channelRead(handlerContext, message);
  }
}
