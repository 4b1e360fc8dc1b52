package loadbalancer.proxy.coordinator;

import io.netty.channel.EventLoop;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * What a {@link RequestCoordinator} runs on.
 *
 * @param eventLoop the thread that all state of the proxy belongs to; also runs the timers
 * @param clock the balancer's clock, which the policy's events and timers are given in
 * @param eventLoopLag how far the event loop is behind
 * @param connectionPools opens and keeps the connections to upstreams
 */
public record CoordinatorEnvironment(
    EventLoop eventLoop,
    EpochClock clock,
    EventLoopLag eventLoopLag,
    UpstreamConnectionPools connectionPools) {}
