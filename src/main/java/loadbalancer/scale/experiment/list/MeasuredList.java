package loadbalancer.scale.experiment.list;

import io.netty.channel.EventLoop;
import loadbalancer.scale.config.ListSettings;

/**
 * The list that is measured.
 *
 * @param settings the settings of the experiment
 * @param size the number of endpoints
 * @param seed determines everything that is random
 * @param eventLoop the event loop of the connection pools, whose tasks are never run
 */
record MeasuredList(ListSettings settings, int size, long seed, EventLoop eventLoop) {

  /** Creates the fleet that the list describes. */
  EndpointFleet newFleet() {
    return new EndpointFleet(settings, size, seed);
  }

  /** Creates a balancer's receiver without endpoints. */
  ListReceiver newReceiver() {
    return new ListReceiver(eventLoop, seed);
  }
}
