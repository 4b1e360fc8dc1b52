package loadbalancer.proxy.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.Collection;
import java.util.List;

/**
 * Creates headers for received messages that validate every field but retain only the fields that
 * the proxy reads, and few of those.
 *
 * <p>Netty limits the bytes of a head, not the number of its fields. A field of five bytes takes
 * over a hundred bytes in the heap, so that a head within the limit of 8 KiB could take 200 KiB.
 * Thread-safe.
 */
public final class RetainedHeadersFactory implements HttpHeadersFactory {

  /**
   * A message with more fields is malformed. Decoding a head of the shortest possible fields would
   * otherwise take about a millisecond of the event loop.
   */
  static final int MAX_FIELDS = 256;

  /** A message with more fields to retain is malformed; valid ones repeat few fields, if any. */
  static final int MAX_RETAINED_FIELDS = 32;

  private final DefaultHttpHeadersFactory validation;

  /** A set of names without values; used since it finds a name in any case, without a copy. */
  private final HttpHeaders retainedNames = new DefaultHttpHeaders();

  /**
   * Creates a factory.
   *
   * @param validation defines how the names and values of all fields are validated
   * @param retainedNames the names of the fields to retain; case does not matter
   */
  RetainedHeadersFactory(
      DefaultHttpHeadersFactory validation, Collection<? extends CharSequence> retainedNames) {
    this.validation = validation;
    retainedNames.forEach(name -> this.retainedNames.set(name, ""));
  }

  /**
   * Returns the configuration of a decoder whose messages retain only the header fields of these
   * names, and no trailer fields. Lines must end in CRLF.
   *
   * @param retainedNames the names of the header fields that the proxy reads; must include those by
   *     which the decoder itself determines the length of the body
   */
  public static HttpDecoderConfig strictDecoderConfig(
      Collection<? extends CharSequence> retainedNames) {
    DefaultHttpHeadersFactory headers = DefaultHttpHeadersFactory.headersFactory();
    DefaultHttpHeadersFactory trailers = DefaultHttpHeadersFactory.trailersFactory();
    return new HttpDecoderConfig()
        .setStrictLineParsing(true)
        .setHeadersFactory(new RetainedHeadersFactory(headers, retainedNames))
        .setTrailersFactory(new RetainedHeadersFactory(trailers, List.of()));
  }

  @Override
  public HttpHeaders newHeaders() {
    return new RetainedHeaders();
  }

  @Override
  public HttpHeaders newEmptyHeaders() {
    return newHeaders();
  }

  /** Headers that the decoder fills by {@link #add(CharSequence, Object)}. */
  private final class RetainedHeaders extends DefaultHttpHeaders {

    private int fields;

    RetainedHeaders() {
      super(validation.getNameValidator(), validation.getValueValidator());
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      fields++;
      if (fields > MAX_FIELDS) {
        throw new TooLongHttpHeaderException("header: must have at most " + MAX_FIELDS + " fields");
      }
      if (!retainedNames.contains(name)) {
        validation.getNameValidator().validateName(name);
        validation.getValueValidator().validate((CharSequence) value);
        return this;
      }
      super.add(name, value);
      if (size() > MAX_RETAINED_FIELDS) {
        throw new TooLongHttpHeaderException(
            "header: must have at most " + MAX_RETAINED_FIELDS + " fields that the proxy reads");
      }
      return this;
    }
  }
}
