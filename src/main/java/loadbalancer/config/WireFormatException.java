package loadbalancer.config;

/**
 * Thrown for malformed JSON input. The message names the field, what it must hold and what it holds
 * and, for line-based input, the line number.
 */
public final class WireFormatException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with this message. */
  public WireFormatException(String message) {
    super(message);
  }
}
