package loadbalancer.scale;

/** The command line of the scale run. */
public final class ScaleCommand {

  private ScaleCommand() {}

  /** Runs the experiments of a configuration file. */
  public static void main(String[] arguments) {
    System.exit(0);
  }
}
