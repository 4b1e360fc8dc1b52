package loadbalancer.proxy.discovery;

import loadbalancer.config.EndpointList;

/** Receives the events of a watch; called on the event loop. */
public interface DiscoveryListener {

  /** Called when the full list or the changes since the previous list have arrived. */
  void endpointListReceived(EndpointList list);

  /**
   * Whether the listener can take a further list. While it returns false, the watch reads nothing,
   * so that the lists that wait to be applied are bounded.
   */
  boolean acceptsLists();

  /** Called when the watch has failed. No watch is active until the listener starts another. */
  void watchFailed();
}
