package loadbalancer.scale.model;

import java.util.List;
import java.util.function.LongSupplier;
import loadbalancer.policy.event.EndpointDescriptor;

/** What a {@link HollowBalancer} reaches outside of its own process. */
public interface BalancerEnvironment {

  /** The complete endpoint list of the discovery service. */
  List<EndpointDescriptor> endpointList();

  /** Sends an attempt to an upstream and returns the answer in advance. */
  UpstreamResponse sendAttempt(long endpointId);

  /** A clock that measures the processor time of the policy; only differences are used. */
  LongSupplier processorClockNanos();
}
