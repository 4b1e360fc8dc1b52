package loadbalancer.proxy.http;

/**
 * The part of an upstream's response that is passed on to the client.
 *
 * @param body the complete body, at most {@link #MAX_BODY_BYTES} long; not to be modified
 * @param contentType the {@code Content-Type} header, or null
 */
public record UpstreamResponse(byte[] body, String contentType) {

  /** The protocol's limit on the body of a request or a response; a longer one is malformed. */
  public static final int MAX_BODY_BYTES = 64 << 10;
}
