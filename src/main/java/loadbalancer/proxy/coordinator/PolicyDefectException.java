package loadbalancer.proxy.coordinator;

/** An action of the policy that cannot be carried out: a defect of the policy. */
public final class PolicyDefectException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception.
   *
   * @param message the action, and why it cannot be carried out
   */
  public PolicyDefectException(String message) {
    super(message);
  }
}
