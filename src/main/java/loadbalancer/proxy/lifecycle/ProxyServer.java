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
import loadbalancer.proxy.transport.MillisecondEventLoop;
import loadbalancer.proxy.upstream.ConnectionLimits;
import loadbalancer.proxy.upstream.UpstreamConnectionPools;

/**
 * One proxy: the load-balancing policy on sockets. Puts the parts together and starts, reloads and
 * ends them. All state of the parts belongs to one event-loop thread; the methods here may be
 * called on any other thread.
 */
public final class ProxyServer {

  /**
   * The fractions of the file descriptors for client and for upstream connections; the rest is for
   * discovery and the process itself.
   */
  private static final double DOWNSTREAM_SOCKETS_FRACTION = 0.45;

  private static final double UPSTREAM_SOCKETS_FRACTION = 0.4;

  /** Short enough to show a disturbance of seconds, at under 20,000 lines a day. */
  private static final long REPORT_PERIOD_MILLIS = 5_000;

  private final EventLoop loop = new MillisecondEventLoop(NioIoHandler.newFactory());
  private final EventLoopLag lag = new EventLoopLag(loop);
  private final ProxyConfiguration configuration;
  private final Runnable endProcess;
  private final RequestCoordinator coordinator;
  private final DownstreamServer downstream;
  private final DiscoveryClient discovery;
  private final String warmUpPath = WarmUp.newPath();
  private final CountDownLatch ready = new CountDownLatch(1);
  private final CountDownLatch shutdownComplete = new CountDownLatch(1);

  /**
   * A proxy that has not started.
   *
   * @param endProcess ends the process, after a defect of the policy; runs on the event loop
   */
  public ProxyServer(ProxyConfiguration configuration, Runnable endProcess) {
    this.configuration = configuration;
    this.endProcess = endProcess;
    PolicySettings settings = configuration.settings();
    UpstreamConnectionPools upstreamPools =
        new UpstreamConnectionPools(
            loop,
            new ConnectionLimits(
                settings.limits().connectTimeoutNanos(),
                settings.limits().connectionIdleTimeoutNanos(),
                (int) (configuration.sockets() * UPSTREAM_SOCKETS_FRACTION)));
    coordinator =
        new RequestCoordinator(
            settings,
            new AdaptiveLoadBalancingPolicy(settings, configuration.seed()),
            new CoordinatorEnvironment(loop, new EpochClock(), lag, upstreamPools),
            this::handlePolicyDefect);
    downstream =
        new DownstreamServer(
            loop,
            settings,
            coordinator,
            (int) (configuration.sockets() * DOWNSTREAM_SOCKETS_FRACTION));
    downstream.setWarmUpPath(warmUpPath);
    discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(configuration.discovery(), configuration.known().version()),
            WatchTimeouts.PROTOCOL,
            new DiscoveryEventForwarder());
  }

  /** Hands the watch events of discovery to the coordinator, on the event loop. */
  private final class DiscoveryEventForwarder implements DiscoveryListener {

    @Override
    public void endpointListReceived(EndpointList list) {
      coordinator.updateEndpoints(list);
    }

    @Override
    public void watchFailed() {
      coordinator.endpointWatchFailed();
    }
  }

  /**
   * Listens, starts the watch and the warm-up, and returns while these run; not to be called on the
   * event loop, since it waits for the bind. A failed bind is thrown as it is.
   *
   * @return the address that clients connect to
   */
  public InetSocketAddress start() throws InterruptedException {
    InetSocketAddress address = downstream.listen(configuration.listen());
    loop.execute(
        () -> {
          coordinator.start(configuration.known(), discovery::watch);
          // Whatever list mode the settings name: on sockets a list comes by a watch only.
          discovery.watch(true);
          new WarmUp(
                  loop,
                  lag,
                  configuration.settings(),
                  warmUpPath,
                  requestCount -> serve(address, requestCount))
              .start(address);
        });
    return address;
  }

  /** Reports that the proxy is ready, once it has warmed up. */
  private void serve(InetSocketAddress address, int warmUpRequests) {
    EventLog.info("lifecycle: warm-up complete requests=" + warmUpRequests);
    downstream.setReady();
    loop.scheduleAtFixedRate(
        coordinator::logStatistics,
        REPORT_PERIOD_MILLIS,
        REPORT_PERIOD_MILLIS,
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

  /** Waits until clients are served. */
  void awaitReady() throws InterruptedException {
    ready.await();
  }

  /**
   * Takes over from a new configuration what may change while the proxy runs: the address of the
   * discovery service.
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

  /** Starts the graceful shutdown; to be called once. */
  void shutDown() {
    loop.execute(
        () -> {
          EventLog.info("lifecycle: shutdown started name=" + configuration.name());
          new GracefulShutdown(
                  loop, configuration.settings(), downstream, coordinator, this::completeShutdown)
              .start();
        });
  }

  private void completeShutdown() {
    coordinator.logStatistics();
    EventLog.info("lifecycle: shutdown complete name=" + configuration.name());
    shutdownComplete.countDown();
  }

  /** Waits until the graceful shutdown is complete, or until the calling thread is interrupted. */
  void awaitShutdown() {
    try {
      shutdownComplete.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Completes all open requests without the policy, whose state is unknown now, and ends. */
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
