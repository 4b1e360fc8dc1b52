package loadbalancer.config;

/**
 * Malformed input; the message says which field, what was expected and what it held and, where the
 * input has lines, on which line.
 */
public final class WireFormatException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** An exception with this message. */
  public WireFormatException(String message) {
    super(message);
  }
}
