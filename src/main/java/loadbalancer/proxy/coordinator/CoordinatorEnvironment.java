package loadbalancer.proxy.coordinator;

import io.netty.channel.EventLoop;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * The event loop, clock and connections that a {@link RequestCoordinator} uses.
 *
 * @param eventLoop its thread owns all state of the proxy; also runs the timers
 * @param clock the balancer's clock; the times in policy events and timers are readings of it
 * @param eventLoopLag measures how far the event loop is behind schedule
 * @param connectionPools opens and pools the connections to upstreams
 */
public record CoordinatorEnvironment(
    EventLoop eventLoop,
    EpochClock clock,
    EventLoopLag eventLoopLag,
    UpstreamConnectionPools connectionPools) {}
