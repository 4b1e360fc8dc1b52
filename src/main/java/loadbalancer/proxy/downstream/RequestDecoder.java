package loadbalancer.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import loadbalancer.proxy.transport.RawBytesFilter;

/**
 * Decodes the HTTP requests of one connection; lines must end in CRLF. Bytes that the filter does
 * not accept are dropped before decoding.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  private final RawBytesFilter filter;

  /** Creates the decoder of one connection, whose filter sees all bytes before they are decoded. */
  public RequestDecoder(RawBytesFilter filter) {
    super(new HttpDecoderConfig().setStrictLineParsing(true));
    this.filter = filter;
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
