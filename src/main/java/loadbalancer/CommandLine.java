package loadbalancer;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import loadbalancer.config.WireFormatException;
import loadbalancer.proxy.lifecycle.ProxyServer;
import loadbalancer.simulator.SimulatorSession;

/** Entry point of both programs: the real balancer and the wire adapter. */
public final class CommandLine {

  private CommandLine() {}

  /**
   * Runs {@code serve}: a balancer on sockets, until SIGTERM; {@code rehearse}: its start alone; or
   * {@code adapter}: events on standard input, actions on standard output, until the input ends.
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (args.length == 1 && args[0].equals("serve")) {
      System.exit(ProxyServer.serve(System.getenv(), System.err));
    }
    if (args.length == 1 && args[0].equals("rehearse")) {
      System.exit(ProxyServer.rehearse(System.getenv()));
    }
    System.exit(run(args, System.in, System.out, System.err));
  }

  /**
   * The exit status: 0 at the end of the input, 1 for malformed input, 2 for a wrong command line.
   */
  static int run(String[] args, InputStream in, PrintStream out, PrintStream err)
      throws IOException {
    if (args.length != 1 || !args[0].equals("adapter")) {
      err.println("usage: java -jar load-balancer.jar serve|rehearse|adapter");
      err.println(
          "  serve     balance on sockets as the PROXY_ variables and their configuration file"
              + " say");
      err.println(
          "  rehearse  start like serve and end once ready: for making a class-data archive");
      err.println(
          "  adapter   read batches of events from standard input, write actions to standard"
              + " output");
      return 2;
    }
    try {
      new SimulatorSession(in, out).run();
      return 0;
    } catch (WireFormatException e) {
      err.println(e.getMessage());
      return 1;
    }
  }
}
