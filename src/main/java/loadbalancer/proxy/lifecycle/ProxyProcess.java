package loadbalancer.proxy.lifecycle;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import loadbalancer.config.ProxyConfiguration;

/**
 * Runs a proxy server as the program's process, which is configured by environment variables and
 * controlled by signals, and reports its exit status. The methods must be called on the main
 * thread.
 */
public final class ProxyProcess {

  private static final int EXIT_SUCCESS = 0;
  private static final int EXIT_DEFECT = 1;
  private static final int EXIT_INVALID_CONFIGURATION = 2;

  private ProxyProcess() {}

  /**
   * Runs a proxy until SIGTERM starts a graceful shutdown and the shutdown is complete. A policy
   * defect or a failure of the event loop ends the process immediately with exit status 1.
   *
   * @param environment the PROXY_ environment variables
   * @param errorOutput receives one line if the proxy cannot start, for example because of an
   *     invalid configuration or an address that cannot be bound
   * @return the exit status: 0 after a graceful shutdown, 2 if the proxy could not start
   * @throws InterruptedException if interrupted while the proxy starts
   */
  public static int serve(Map<String, String> environment, PrintStream errorOutput)
      throws InterruptedException {
    ProxyServer server;
    try {
      server = newServer(environment);
      ConfigurationReloader.install(environment, server::reload);
      server.start();
    } catch (IOException | RuntimeException invalid) {
      errorOutput.println(
          "configuration: invalid error="
              + invalid.getClass().getSimpleName()
              + " reason="
              + String.valueOf(invalid.getMessage()).replace('\n', ' '));
      return EXIT_INVALID_CONFIGURATION;
    }
    shutDownOnSigterm(server);
    server.awaitShutdown();
    return EXIT_SUCCESS;
  }

  /**
   * Starts a proxy and returns once it is ready. The class-data-sharing archive is created from
   * such a run. Unlike {@link #serve}, this installs no signal handlers, and an invalid
   * configuration or a failed bind is thrown.
   *
   * @param environment the PROXY_ environment variables
   * @return the exit status, always 0
   * @throws IOException if the configuration file cannot be read or the listen address not bound
   * @throws InterruptedException if interrupted while the proxy starts
   */
  public static int rehearse(Map<String, String> environment)
      throws IOException, InterruptedException {
    ProxyServer server = newServer(environment);
    server.start();
    server.awaitReady();
    return EXIT_SUCCESS;
  }

  private static ProxyServer newServer(Map<String, String> environment) throws IOException {
    return new ProxyServer(
        ProxyConfiguration.read(environment), () -> Runtime.getRuntime().halt(EXIT_DEFECT));
  }

  /**
   * Registers a shutdown hook, since the JVM by default exits immediately on SIGTERM. The hook
   * halts the JVM, which would otherwise exit with status 143.
   */
  private static void shutDownOnSigterm(ProxyServer server) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  server.shutDown();
                  server.awaitShutdown();
                  Runtime.getRuntime().halt(EXIT_SUCCESS);
                },
                "graceful-shutdown"));
  }
}
