package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The frame of a case: starts balancers with the command of the deploy file, keeps the record and
 * ends everything that was started.
 */
final class Lab {

  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  private static final long WATCHDOG_MILLIS = 110_000;

  /** A case: returns one of the three exit codes. */
  interface Case {
    int run(Lab lab) throws Exception;
  }

  private final Path caseFolder;
  private final Path temporaryFolder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();
  private int balancers;

  private Lab(Path caseFolder) throws IOException {
    this.caseFolder = caseFolder;
    temporaryFolder = Files.createTempDirectory("review");
    record =
        new PrintWriter(
            Files.newBufferedWriter(
                caseFolder.resolve("record.txt"), StandardCharsets.UTF_8));
  }

  /** Whether the case makes its disruption; TROUBLE=0 in the environment turns it off. */
  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Runs a case and exits with its code. The argument is the folder of the case. */
  static void main(String[] args, Case body) {
    int status = COULD_NOT_RUN;
    try {
      Lab lab = new Lab(Path.of(args[0]));
      Runtime.getRuntime().addShutdownHook(new Thread(lab::endProcesses));
      Thread watchdog = new Thread(lab::watch);
      watchdog.setDaemon(true);
      watchdog.start();
      lab.record("case %s, trouble=%s", args[0], trouble());
      try {
        status = body.run(lab);
      } catch (Exception e) {
        lab.record("the case could not run: %s", e);
        e.printStackTrace();
      }
      lab.endProcesses();
      lab.record(
          "verdict: %s",
          status == BROKEN ? "BROKEN" : status == HELD ? "HELD" : "COULD NOT RUN");
      lab.close();
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  private void watch() {
    sleep(WATCHDOG_MILLIS);
    record("the case took too long");
    endProcesses();
    Runtime.getRuntime().halt(COULD_NOT_RUN);
  }

  /** Milliseconds since the case started. */
  double millis() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Writes a line to the record. */
  synchronized void record(String format, Object... values) {
    record.printf("%10.1f ms  %s%n", millis(), String.format(format, values));
    record.flush();
  }

  /** Writes a line to the record and to standard output. */
  void report(String format, Object... values) {
    record(format, values);
    System.out.println(String.format(format, values));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A running balancer. */
  final class Balancer {
    final Process process;
    final InetSocketAddress address;
    final Path log;

    private Balancer(Process process, InetSocketAddress address, Path log) {
      this.process = process;
      this.address = address;
      this.log = log;
    }
  }

  /**
   * Starts a balancer with the run command of the deploy file and waits until GET /up returns 200.
   * It listens on a free port of 127.0.0.1.
   */
  Balancer startBalancer(
      String discoveryAddress, int sockets, String knownJson, String settingsJson)
      throws Exception {
    String name = "n" + balancers++;
    Path configuration = temporaryFolder.resolve(name + ".json");
    Path log = temporaryFolder.resolve(name + ".log");
    Files.writeString(
        configuration,
        "{\"name\":\""
            + name
            + "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
            + discoveryAddress
            + "\",\"seed\":\"5be2a07c\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
            + sockets
            + "},\"known\":"
            + knownJson
            + ",\"settings\":"
            + settingsJson
            + "}");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
    builder.environment().put("PROXY_CONFIG", configuration.toString());
    for (String variable : List.of("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY")) {
      builder.environment().remove(variable);
    }
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Process process = builder.start();
    synchronized (processes) {
      processes.add(process);
    }
    Pattern serving = Pattern.compile("lifecycle: serving .*address=127\\.0\\.0\\.1:(\\d+)");
    for (int i = 0; i < 600 && process.isAlive(); i++) {
      Matcher matcher = serving.matcher(Files.readString(log));
      if (matcher.find()) {
        InetSocketAddress address =
            new InetSocketAddress("127.0.0.1", Integer.parseInt(matcher.group(1)));
        try (Client client = new Client(address)) {
          client.send("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n");
          if (client.readAnswer(5_000).status == 200) {
            record("balancer %s is ready at %s, process %d", name, address, process.pid());
            return new Balancer(process, address, log);
          }
        }
      }
      sleep(50);
    }
    throw new IOException("the balancer did not get ready: " + Files.readString(log));
  }

  private static String deployCommand(String key) throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^" + key + " = \"(.*)\"")
            .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!matcher.find()) {
      throw new IOException("deploy/balancer.toml: no command " + key);
    }
    return matcher.group(1);
  }

  /** Sends a signal to a process that the case started. */
  void signal(Process process, String signal) throws Exception {
    record("signal %s to process %d", signal, process.pid());
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Copies the last lines of a balancer's log to the record. */
  void recordLog(Balancer balancer, int lines) throws IOException {
    List<String> all = Files.readAllLines(balancer.log);
    for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
      record("log: %s", line);
    }
  }

  private void endProcesses() {
    synchronized (processes) {
      for (Process process : processes) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      processes.clear();
    }
  }

  private void close() throws IOException {
    record.close();
    try (Stream<Path> files = Files.walk(temporaryFolder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
