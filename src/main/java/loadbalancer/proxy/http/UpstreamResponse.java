package loadbalancer.proxy.http;

/** The body of an upstream's answer, and its type or null. */
public record UpstreamResponse(byte[] body, String contentType) {

  /** The protocol's limit; a body beyond it is malformed. */
  public static final int MAX_BODY = 64 << 10;
}
