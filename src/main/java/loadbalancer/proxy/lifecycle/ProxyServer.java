package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.config.IpSocketAddress;
import loadbalancer.config.ProxyConfiguration;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.settings.PolicySettings;
import loadbalancer.proxy.coordinator.CoordinatorEnvironment;
import loadbalancer.proxy.coordinator.RequestCoordinator;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.discovery.DiscoveryListener;
import loadbalancer.proxy.discovery.WatchTarget;
import loadbalancer.proxy.discovery.WatchTimeouts;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.telemetry.EventLog;
import loadbalancer.proxy.telemetry.EventLoopLag;
import loadbalancer.proxy.transport.EpochClock;
import loadbalancer.proxy.transport.FailFastEventLoop;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * A proxy that applies the load-balancing policy to HTTP traffic. Creates and connects its
 * components and controls start, reload and shutdown. The components run on a single event-loop
 * thread; the methods of this class may be called on any other thread.
 */
public final class ProxyServer implements AutoCloseable {

  /**
   * Fraction of the process's file descriptors available to client connections. What client and
   * upstream connections leave is for discovery and the process itself.
   */
  private static final double DOWNSTREAM_SOCKETS_FRACTION = 0.45;

  /** Fraction of the process's file descriptors available to upstream connections. */
  private static final double UPSTREAM_SOCKETS_FRACTION = 0.4;

  /**
   * Period of the traffic log. It is short enough to show disturbances that last seconds, and
   * produces fewer than 20,000 lines a day.
   */
  private static final long TRAFFIC_LOG_PERIOD_MILLIS = 5_000;

  private final EventLoop loop;
  private final EventLoopLag loopLag;
  private final ProxyConfiguration configuration;
  private final Runnable endProcess;
  private final RequestCoordinator coordinator;
  private final DownstreamServer downstream;
  private final DiscoveryClient discovery;
  private final String warmUpPath = WarmUp.newPath();
  private final CountDownLatch ready = new CountDownLatch(1);
  private final CountDownLatch shutdownComplete = new CountDownLatch(1);

  /**
   * Creates a proxy without starting it.
   *
   * @param endProcess terminates the process after a policy defect or a failure of the event loop;
   *     runs on the event loop
   */
  public ProxyServer(ProxyConfiguration configuration, Runnable endProcess) {
    this.configuration = configuration;
    this.endProcess = endProcess;
    loop = new FailFastEventLoop(NioIoHandler.newFactory(), this::handleEventLoopFailure);
    loopLag = new EventLoopLag(loop);
    PolicySettings settings = configuration.settings();
    UpstreamConnectionPools upstreamPools =
        new UpstreamConnectionPools(
            loop,
            new ConnectionLimits(
                settings.limits().connectTimeoutNanos(),
                settings.limits().connectionIdleTimeoutNanos(),
                (int) (configuration.maxFileDescriptors() * UPSTREAM_SOCKETS_FRACTION)));
    coordinator =
        new RequestCoordinator(
            settings,
            new AdaptiveLoadBalancingPolicy(settings, configuration.seed()),
            new CoordinatorEnvironment(loop, new EpochClock(), loopLag, upstreamPools),
            this::handlePolicyDefect);
    downstream =
        new DownstreamServer(
            loop,
            settings,
            coordinator,
            (int) (configuration.maxFileDescriptors() * DOWNSTREAM_SOCKETS_FRACTION));
    downstream.setWarmUpPath(warmUpPath);
    discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(configuration.discovery(), configuration.cachedEndpointList().version()),
            WatchTimeouts.PROTOCOL,
            new DiscoveryEventForwarder());
  }

  /** Forwards discovery events to the coordinator, on the event loop. */
  private final class DiscoveryEventForwarder implements DiscoveryListener {

    @Override
    public void endpointListReceived(EndpointList list) {
      coordinator.updateEndpoints(list);
    }

    @Override
    public boolean acceptsLists() {
      return !coordinator.isApplyingEndpoints();
    }

    @Override
    public void watchFailed() {
      coordinator.endpointWatchFailed();
    }
  }

  /**
   * Starts listening, the watch of the endpoint list and the warm-up, and returns once the listener
   * is bound. Must not be called on the event loop, since it waits for the bind. The exception of a
   * failed bind is rethrown unchanged.
   *
   * @return the address that clients connect to
   * @throws InterruptedException if interrupted while waiting for the bind
   */
  public InetSocketAddress start() throws InterruptedException {
    InetSocketAddress address = downstream.listen(configuration.listen());
    loop.execute(
        () -> {
          coordinator.start(configuration.cachedEndpointList(), discovery::watch);
          // The proxy receives endpoint lists only through a watch, whatever registry-mode says.
          discovery.watch(true);
          new WarmUp(
                  loop,
                  loopLag,
                  configuration.settings(),
                  warmUpPath,
                  requestCount -> startServing(address, requestCount))
              .start(address);
        });
    return address;
  }

  /** Ends the warm-up: readiness checks succeed from now on, and the traffic log starts. */
  private void startServing(InetSocketAddress address, int warmUpRequestCount) {
    EventLog.info("lifecycle: warm-up complete requests=" + warmUpRequestCount);
    downstream.setReady();
    loop.scheduleAtFixedRate(
        coordinator::logStatistics,
        TRAFFIC_LOG_PERIOD_MILLIS,
        TRAFFIC_LOG_PERIOD_MILLIS,
        TimeUnit.MILLISECONDS);
    EventLog.info(
        "lifecycle: serving name="
            + configuration.name()
            + " zone="
            + configuration.settings().zone()
            + " address="
            + IpSocketAddress.format(address));
    ready.countDown();
  }

  /** Blocks until the warm-up is complete and readiness checks succeed. */
  void awaitReady() throws InterruptedException {
    ready.await();
  }

  /**
   * Applies a new configuration. Only the address of the discovery service can change while the
   * proxy runs; all other fields are ignored.
   */
  void reload(ProxyConfiguration next) {
    loop.execute(
        () -> {
          EventLog.info(
              "reload: configuration loaded name="
                  + configuration.name()
                  + " discovery="
                  + IpSocketAddress.format(next.discovery()));
          discovery.moveTo(next.discovery());
        });
  }

  /** Starts the graceful shutdown and returns immediately. Must be called only once. */
  void shutDown() {
    loop.execute(
        () -> {
          EventLog.info("lifecycle: shutdown started name=" + configuration.name());
          new GracefulShutdown(
                  loop, configuration.settings(), downstream, coordinator, this::completeShutdown)
              .start();
        });
  }

  /**
   * Stops the event loop at once, without a graceful shutdown: closes all connections and stops all
   * timers and the watch. For programs that outlive the proxy; a process that serves traffic uses
   * {@link #shutDown}.
   */
  @Override
  public void close() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private void completeShutdown() {
    coordinator.logStatistics();
    EventLog.info("lifecycle: shutdown complete name=" + configuration.name());
    shutdownComplete.countDown();
  }

  /** Blocks until the graceful shutdown is complete or the calling thread is interrupted. */
  void awaitShutdown() {
    try {
      shutdownComplete.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Terminates the process, since nothing handles its sockets any more. Logging may fail, for
   * example for lack of memory.
   */
  private void handleEventLoopFailure(Throwable failure) {
    try {
      EventLog.error("lifecycle: event loop failed error=" + failure);
    } finally {
      endProcess.run();
    }
  }

  /**
   * Completes all open requests without the policy, whose state may be inconsistent, and terminates
   * the process.
   */
  private void handlePolicyDefect(RuntimeException defect) {
    StackTraceElement[] trace = defect.getStackTrace();
    EventLog.error(
        "lifecycle: policy defect error="
            + defect
            + " at="
            + (trace.length == 0 ? "unknown" : trace[0]));
    coordinator.completeAllRequests();
    endProcess.run();
  }
}
