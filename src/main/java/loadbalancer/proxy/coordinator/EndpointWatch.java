package loadbalancer.proxy.coordinator;

/** Starts and stops the watch of the endpoint list. Called on the event loop thread. */
@FunctionalInterface
public interface EndpointWatch {

  /**
   * Starts or stops the watch.
   *
   * @param isEnabled whether the list is to be watched
   */
  void setEnabled(boolean isEnabled);
}
