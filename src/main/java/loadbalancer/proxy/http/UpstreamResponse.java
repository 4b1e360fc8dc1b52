package loadbalancer.proxy.http;

/**
 * The parts of an upstream's response that are forwarded to the client unchanged.
 *
 * @param body the complete body, at most {@link #MAX_BODY_BYTES} long; must not be modified
 * @param contentType the {@code Content-Type} header, or null if the response has none
 */
public record UpstreamResponse(byte[] body, String contentType) {

  /** The protocol's limit on the body of a request or a response; a larger body is malformed. */
  public static final int MAX_BODY_BYTES = 64 << 10;
}
