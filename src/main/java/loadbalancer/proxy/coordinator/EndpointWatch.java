package loadbalancer.proxy.coordinator;

/** Switches the watch of the endpoint list; called on the event loop. */
@FunctionalInterface
public interface EndpointWatch {

  /**
   * Starts or ends the watch.
   *
   * @param isEnabled whether the list is to be watched
   */
  void setEnabled(boolean isEnabled);
}
