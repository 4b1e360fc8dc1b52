package loadbalancer.proxy.coordinator;

/** Thrown for a policy action that cannot be carried out, which is a defect in the policy. */
public final class PolicyDefectException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message names the action and why it cannot be carried out
   */
  public PolicyDefectException(String message) {
    super(message);
  }
}
