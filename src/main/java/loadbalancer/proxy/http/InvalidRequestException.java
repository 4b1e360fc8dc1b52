package loadbalancer.proxy.http;

/** A client's request that breaks the protocol, with the status of the response that it gets. */
public final class InvalidRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  private final int status;

  /**
   * Makes an exception without a stack trace: clients that break the protocol may do so at full
   * speed.
   *
   * @param status the HTTP status of the response
   * @param message what is wrong with the request, the body of the response
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
