package loadbalancer.proxy.http;

/** Thrown for a client's request that violates the protocol; carries the status of the response. */
public final class InvalidRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  private final int status;

  /**
   * Creates an exception without a stack trace, which would be too expensive if clients send
   * invalid requests at a high rate.
   *
   * @param status the HTTP status of the response
   * @param message what is wrong with the request, sent as the body of the response
   */
  public InvalidRequestException(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /** The HTTP status of the response. */
  public int status() {
    return status;
  }
}
