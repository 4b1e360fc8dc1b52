import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One balancer, started with the run command of the deploy file. */
final class Balancer implements AutoCloseable {
  private final Path root;
  private final Path folder;
  private final String name;
  private final int port;
  private Process process;

  Balancer(Path root, Path folder, String name) throws IOException {
    this.root = root;
    this.folder = folder;
    this.name = name;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    }
  }

  int port() {
    return port;
  }

  /** Writes the configuration and starts the program; returns once GET /up gives 200. */
  void start(Discovery discovery, int memoryMb, int sockets, String settings)
      throws IOException {
    Path config = folder.resolve(name + ".json");
    Files.writeString(
        config,
        String.format(
            "{\"name\":\"%s\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\","
                + "\"seed\":\"%016x\",\"limits\":{\"cores\":1.0,\"memory_mb\":%d,"
                + "\"sockets\":%d},\"known\":%s,\"settings\":%s}",
            name, port, discovery.address(), System.nanoTime(), memoryMb, sockets,
            discovery.snapshot(), settings));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
    builder.directory(root.toFile());
    builder.environment().put("PROXY_CONFIG", config.toString());
    builder.environment().put("TMPDIR", folder.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile()));
    builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!isUp()) {
      if (!process.isAlive() || System.nanoTime() > end) {
        throw new IOException("balancer not ready: " + log());
      }
      Daemon.sleep(50);
    }
  }

  private String runCommand() throws IOException {
    Matcher run =
        Pattern.compile("^run = \"(.*)\"", Pattern.MULTILINE)
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/balancer.toml");
    }
    return run.group(1);
  }

  private boolean isUp() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
      socket.setSoTimeout(500);
      socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes());
      HttpStream.Message answer = new HttpStream(socket.getInputStream()).read();
      return answer != null && answer.status() == 200;
    } catch (IOException notYet) {
      return false;
    }
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitStatus() {
    return process.exitValue();
  }

  /** Whether GET /up is still answered with 200. */
  boolean answersReadiness() {
    return isUp();
  }

  private File logFile() {
    return folder.resolve(name + ".log").toFile();
  }

  String log() throws IOException {
    return Files.readString(logFile().toPath());
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
