package loadbalancer.scale;

/** An experiment ended with an exception, which is the cause. */
final class ExperimentFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param experiment the name of the experiment
   * @param cause what the experiment threw; the message has its first cause
   */
  ExperimentFailedException(String experiment, Throwable cause) {
    super("experiment " + experiment + " failed: " + firstCause(cause), cause);
  }

  private static Throwable firstCause(Throwable failure) {
    Throwable cause = failure;
    while (cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause;
  }
}
