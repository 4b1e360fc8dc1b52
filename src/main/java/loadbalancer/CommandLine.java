package loadbalancer;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import loadbalancer.config.WireFormatException;
import loadbalancer.proxy.lifecycle.ProxyProcess;
import loadbalancer.simulator.SimulatorSession;

/**
 * The program's entry point. Its commands run the proxy, start the proxy only to create a
 * class-data-sharing archive, or connect the policy to a simulator.
 */
public final class CommandLine {

  private static final int EXIT_END_OF_INPUT = 0;
  private static final int EXIT_MALFORMED_INPUT = 1;
  private static final int EXIT_USAGE = 2;

  private CommandLine() {}

  /**
   * Runs one command and exits with its status.
   *
   * @param args one of the commands: {@code serve} runs the proxy until SIGTERM; {@code rehearse}
   *     starts the proxy and exits once it is ready; {@code adapter} reads batches of events from
   *     standard input and writes actions to standard output until the input ends
   * @throws IOException if a standard stream fails, or {@code rehearse} cannot read the
   *     configuration file
   * @throws InterruptedException if interrupted while the proxy starts
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (isCommand("serve", args)) {
      System.exit(ProxyProcess.serve(System.getenv(), System.err));
    }
    if (isCommand("rehearse", args)) {
      System.exit(ProxyProcess.rehearse(System.getenv()));
    }
    System.exit(runAdapter(args, System.in, System.out, System.err));
  }

  /**
   * Runs {@code adapter}, or prints the usage text to {@code err} if {@code args} is anything else.
   *
   * @return the exit status: 0 at the end of the input, 1 for malformed input, 2 for an invalid
   *     command line
   * @throws IOException if a stream fails
   */
  static int runAdapter(String[] args, InputStream in, PrintStream out, PrintStream err)
      throws IOException {
    if (!isCommand("adapter", args)) {
      printUsage(err);
      return EXIT_USAGE;
    }
    try {
      new SimulatorSession(in, out).run();
      return EXIT_END_OF_INPUT;
    } catch (WireFormatException e) {
      err.println(e.getMessage());
      return EXIT_MALFORMED_INPUT;
    }
  }

  private static boolean isCommand(String command, String[] args) {
    return args.length == 1 && args[0].equals(command);
  }

  private static void printUsage(PrintStream err) {
    err.println("usage: java -jar load-balancer.jar serve|rehearse|adapter");
    err.println(
        "  serve     run the proxy, configured by the PROXY_ variables and the configuration file");
    err.println(
        "  rehearse  start the proxy and exit once ready, to create a class-data-sharing archive");
    err.println(
        "  adapter   read batches of events from standard input, write actions to standard output");
  }
}
