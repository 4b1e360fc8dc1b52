package loadbalancer;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import loadbalancer.config.WireFormatException;
import loadbalancer.proxy.lifecycle.ProxyProcess;
import loadbalancer.simulator.SimulatorSession;

/**
 * The command line: the proxy on sockets, its start alone, or the policy on the simulator's wire.
 */
public final class CommandLine {

  private static final int EXIT_END_OF_INPUT = 0;
  private static final int EXIT_MALFORMED_INPUT = 1;
  private static final int EXIT_USAGE = 2;

  private CommandLine() {}

  /**
   * Runs one command and ends the process with its exit status.
   *
   * @param args {@code serve}: the proxy, until SIGTERM; {@code rehearse}: its start alone; or
   *     {@code adapter}: events on standard input, actions on standard output, until the input ends
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
   * Runs {@code adapter}, or prints the usage text to {@code err} where {@code args} are none of
   * the commands.
   *
   * @return the exit status: 0 at the end of the input, 1 for malformed input, 2 for a wrong
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
        "  serve     balance on sockets as the PROXY_ variables and their configuration file say");
    err.println("  rehearse  start like serve and end once ready: for making a class-data archive");
    err.println(
        "  adapter   read batches of events from standard input, write actions to standard output");
  }
}
