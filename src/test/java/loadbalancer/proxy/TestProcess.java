package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.IpSocketAddress;

/** The program as a process of its own, with its configuration file in a folder of the test. */
final class TestProcess implements AutoCloseable {

  private final Path folder;
  private Process process;
  private BufferedReader log;

  /** A process that has not started. */
  TestProcess(Path folder) {
    this.folder = folder;
  }

  /** Where the configuration file is expected. */
  Path configurationFile() {
    return folder.resolve("config.json");
  }

  /** Starts the program with these environment variables, a name and a value in turn. */
  void start(String... variables) throws IOException {
    ProcessBuilder builder = builder();
    for (int i = 0; i < variables.length; i += 2) {
      builder.environment().put(variables[i], variables[i + 1]);
    }
    startAndReadLog(builder);
  }

  /** Starts the program by a shell, which runs this command first. */
  void startAfterShellCommand(String command) throws IOException {
    startAndReadLog(builder("sh", "-c", command + "; exec \"$0\" \"$@\""));
  }

  /** The same with the log in a file, see {@link #logFileText}. */
  void startAfterShellCommandLoggingToFile(String command) throws IOException {
    process =
        builder("sh", "-c", command + "; exec \"$0\" \"$@\"")
            .redirectOutput(logFile().toFile())
            .start();
  }

  private void startAndReadLog(ProcessBuilder builder) throws IOException {
    process = builder.start();
    log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  private ProcessBuilder builder(String... shell) {
    List<String> command = new ArrayList<>(List.of(shell));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            "loadbalancer.CommandLine",
            "serve"));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", configurationFile().toString());
    return builder;
  }

  /** Reads the log up to a line with this text, and returns that line. */
  String awaitLog(String part) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(part)) {
        return line;
      }
    }
    throw new AssertionError("the log never said: " + part);
  }

  /** Waits until the program serves; the address that clients connect to. */
  InetSocketAddress awaitServing() throws IOException {
    return addressIn(awaitLog("lifecycle: serving "));
  }

  /** The same for a program that logs to a file. */
  InetSocketAddress awaitServingInLogFile() throws InterruptedException {
    TestProxy.waitUntil(() -> logFileText().contains("lifecycle: serving "));
    return addressIn(
        logFileText()
            .lines()
            .filter(line -> line.contains("lifecycle: serving "))
            .findFirst()
            .orElseThrow());
  }

  private static InetSocketAddress addressIn(String line) {
    return IpSocketAddress.parse(line.substring(line.indexOf(" address=") + " address=".length()))
        .orElseThrow();
  }

  /** The rest of the log, up to the end of the program. */
  String[] remainingLog() {
    return log.lines().toArray(String[]::new);
  }

  /** All of the log so far, where it goes to a file. */
  String logFileText() {
    try {
      return Files.readString(logFile());
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private Path logFile() {
    return folder.resolve("log");
  }

  /** How many file descriptors the process has open. */
  int openDescriptors() {
    return Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list().length;
  }

  /** Whether the process still runs. */
  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal, named without SIG. */
  void signal(String name) throws IOException, InterruptedException {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Waits for the end of the process; its exit status. */
  int awaitExitStatus() throws InterruptedException {
    assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the program ended");
    return process.exitValue();
  }

  /** Kills the process, if it was started. */
  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
