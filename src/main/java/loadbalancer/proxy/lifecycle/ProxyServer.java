package loadbalancer.proxy.lifecycle;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.EndpointList;
import loadbalancer.config.ProxyConfiguration;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
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

/** One real balancer: the module on sockets, all of it on one event-loop thread. */
public final class ProxyServer {

  /**
   * Shares of the sockets for clients and for upstreams; the rest is for discovery and the process
   * itself.
   */
  private static final double CLIENT_SHARE = 0.45;

  private static final double UPSTREAM_SHARE = 0.4;

  /**
   * After SIGTERM new clients still come for 0.4 s, and SIGKILL comes the longest deadline, 3 s at
   * most, and 0.7 s later: all is answered by a little before that. Clients use the connections
   * that they have as long as these stay open, and another balancer may be away: until a second
   * before the end they are served as ever.
   */
  private static final long ACCEPT_MILLIS = 500;

  private static final long LONGEST_DEADLINE_MILLIS = 3_000;
  private static final long END_MILLIS = 500;
  private static final long LAST_MILLIS = 1_000;
  private static final long POLL_MILLIS = 10;

  /** Often enough to tell a bad stretch from a good one, and 20,000 lines a day at most. */
  private static final long REPORT_MILLIS = 5_000;

  private final EventLoop loop = new MillisecondEventLoop(NioIoHandler.newFactory());
  private final EventLoopLag lag = new EventLoopLag(loop);
  private final ProxyConfiguration configuration;
  private final Runnable crash;
  private final RequestCoordinator core;
  private final DownstreamServer clients;
  private final String warmUpPath = WarmUp.newPath();
  private final DiscoveryClient discovery;
  private final CountDownLatch ready = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);

  /** Makes a balancer; {@code crash} ends the process after a defect of the module. */
  public ProxyServer(ProxyConfiguration configuration, Runnable crash) {
    this.configuration = configuration;
    this.crash = crash;
    var settings = configuration.settings();
    UpstreamConnectionPools pool =
        new UpstreamConnectionPools(
            loop,
            new ConnectionLimits(
                settings.limits().connectTimeoutNanos(),
                settings.limits().connectionIdleTimeoutNanos(),
                (int) (configuration.sockets() * UPSTREAM_SHARE)));
    core =
        new RequestCoordinator(
            settings,
            new AdaptiveLoadBalancingPolicy(settings, configuration.seed()),
            new CoordinatorEnvironment(loop, new EpochClock(), lag, pool),
            this::defect);
    clients =
        new DownstreamServer(loop, settings, core, (int) (configuration.sockets() * CLIENT_SHARE));
    clients.setWarmUpPath(warmUpPath);
    discovery =
        new DiscoveryClient(
            loop,
            WatchTarget.of(configuration.discovery(), configuration.known().version()),
            WatchTimeouts.PROTOCOL,
            new DiscoveryListener() {
              @Override
              public void endpointListReceived(EndpointList list) {
                core.updateEndpoints(list);
              }

              @Override
              public void watchFailed() {
                core.endpointWatchFailed();
              }
            });
  }

  /**
   * Runs a balancer until SIGTERM; the exit status, 2 for a configuration or an address that is no
   * good.
   */
  public static int serve(Map<String, String> environment, PrintStream err)
      throws InterruptedException {
    ProxyServer node;
    try {
      ProxyConfiguration configuration = ProxyConfiguration.read(environment);
      node = new ProxyServer(configuration, () -> Runtime.getRuntime().halt(1));
      ConfigurationReloader.onHangup(environment, node::reload);
      node.start();
    } catch (IOException | RuntimeException e) {
      err.println(
          "configuration: "
              + String.valueOf(e.getMessage()).replace('\n', ' ')
              + ": "
              + e.getClass().getSimpleName());
      return 2;
    }
    // A hook, since Java's own answer to SIGTERM is to end at once; halt, for its status would be
    // 143.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  node.drain();
                  node.awaitDrained();
                  Runtime.getRuntime().halt(0);
                },
                "drain"));
    node.awaitDrained();
    return 0;
  }

  /** Starts as {@code serve} does and ends once ready: what the class-data archive is made from. */
  public static int rehearse(Map<String, String> environment)
      throws IOException, InterruptedException {
    ProxyServer node =
        new ProxyServer(ProxyConfiguration.read(environment), () -> Runtime.getRuntime().halt(1));
    node.start();
    node.ready.await();
    return 0;
  }

  /** Listens and follows the list; the address that clients connect to. */
  public InetSocketAddress start() throws InterruptedException {
    InetSocketAddress address = clients.listen(configuration.listen());
    loop.execute(
        () -> {
          core.start(configuration.known(), discovery::watch);
          // Whatever the settings say of how the list comes: on sockets only one who watches is
          // told of it.
          discovery.watch(true);
          WarmUp.run(
              loop,
              lag,
              address,
              warmUpPath,
              configuration.settings(),
              requests -> {
                EventLog.info("warmed up with " + requests + " requests");
                clients.setReady();
                loop.scheduleAtFixedRate(
                    core::logStatistics, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
                EventLog.info(
                    configuration.name()
                        + " of zone "
                        + configuration.settings().zone()
                        + " serves at "
                        + address);
                ready.countDown();
              });
        });
    return address;
  }

  /**
   * Takes over from a new configuration what may change while the balancer runs: the address of
   * discovery.
   */
  void reload(ProxyConfiguration next) {
    loop.execute(
        () -> {
          EventLog.info(configuration.name() + " reloads: discovery at " + next.discovery());
          discovery.moveTo(next.discovery());
        });
  }

  /** Begins a planned stop: answers what was taken, takes nothing new after a while. */
  void drain() {
    loop.execute(
        () -> {
          EventLog.info(configuration.name() + " drains");
          clients.beginGracefulShutdown();
          long end =
              END_MILLIS
                  + Math.min(
                      LONGEST_DEADLINE_MILLIS,
                      configuration.settings().requestClasses().stream()
                          .mapToLong(c -> TimeUnit.NANOSECONDS.toMillis(c.deadlineNanos()))
                          .max()
                          .orElse(0));
          core.capDeadlines(TimeUnit.MILLISECONDS.toNanos(end));
          loop.schedule(clients::stopListening, ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
          loop.schedule(
              this::endOnceIdle, Math.max(ACCEPT_MILLIS, end - LAST_MILLIS), TimeUnit.MILLISECONDS);
          loop.schedule(clients::endIncompleteRequests, end, TimeUnit.MILLISECONDS);
        });
  }

  private void endOnceIdle() {
    clients.closeIdleConnections();
    if (clients.openConnections() == 0) {
      core.logStatistics();
      EventLog.info(configuration.name() + " has drained");
      drained.countDown();
    } else {
      loop.schedule(this::endOnceIdle, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  void awaitDrained() {
    try {
      drained.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * A defect of the module: its word is worth nothing any more, so all that is open is answered
   * without it.
   */
  private void defect(RuntimeException e) {
    EventLog.info(
        "defect of the module: "
            + e
            + " at "
            + (e.getStackTrace().length == 0 ? "?" : e.getStackTrace()[0]));
    core.completeAllRequests();
    crash.run();
  }
}
