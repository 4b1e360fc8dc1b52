package loadbalancer.proxy.lifecycle;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import loadbalancer.config.ProxyConfiguration;

/**
 * The process around a proxy server: its environment, signals and exit status. Its methods are
 * called on the main thread.
 */
public final class ProxyProcess {

  private static final int EXIT_SUCCESS = 0;
  private static final int EXIT_POLICY_DEFECT = 1;
  private static final int EXIT_INVALID_CONFIGURATION = 2;

  private ProxyProcess() {}

  /**
   * Runs a proxy until its graceful shutdown, which SIGTERM starts, is complete.
   *
   * @param environment the PROXY_ variables
   * @param errorOutput gets one line if the configuration or an address in it is not usable
   * @return the exit status: 0 after a graceful shutdown, 2 if the proxy could not start; after a
   *     defect of the policy the process ends at once with status 1
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
   * Starts a proxy as {@link #serve} does and returns once it is ready; the class-data archive is
   * made from such a run.
   *
   * @return the exit status 0
   * @throws IOException if the configuration file cannot be read
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
        ProxyConfiguration.read(environment), () -> Runtime.getRuntime().halt(EXIT_POLICY_DEFECT));
  }

  /**
   * By default the JVM ends at SIGTERM at once, hence a shutdown hook; it halts the JVM, which
   * would otherwise exit with status 143.
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
