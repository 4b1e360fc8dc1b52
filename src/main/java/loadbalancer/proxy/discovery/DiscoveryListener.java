package loadbalancer.proxy.discovery;

import loadbalancer.config.EndpointList;

/** Receives what a watch delivers; called on the event loop. */
public interface DiscoveryListener {

  /** A list has arrived, either full or the changes since the previous one. */
  void endpointListReceived(EndpointList list);

  /** The watch has failed. None is active now; whether and when to start another is up to you. */
  void watchFailed();
}
