package loadbalancer.config;

/** Malformed input; the message says what was wrong and, once known, on which line. */
public final class WireFormatException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  public WireFormatException(String message) {
    super(message);
  }
}
