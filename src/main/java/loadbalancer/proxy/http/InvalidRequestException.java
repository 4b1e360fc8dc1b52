package loadbalancer.proxy.http;

/** A client's request that breaks the protocol, with the status that it is answered with. */
public final class InvalidRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Without a stack trace: clients that break the protocol may do so at full speed. */
  public InvalidRequestException(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /** The HTTP status of the answer. */
  public int status() {
    return status;
  }
}
