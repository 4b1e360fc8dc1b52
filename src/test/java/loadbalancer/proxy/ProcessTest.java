package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import loadbalancer.config.ProxyConfiguration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The program as a process: its start, its end, its exit status. */
class ProcessTest {

  @TempDir private Path folder;
  private Process process;
  private BufferedReader log;

  /**
   * The program with the configuration in this test's folder, behind what a shell is to do ahead of
   * it, if anything.
   */
  private ProcessBuilder program(String... shell) {
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
    builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
    return builder;
  }

  private static InetSocketAddress servedAt(String line) {
    return ProxyConfiguration.address("log", line.substring(line.indexOf('/') + 1));
  }

  private void start(String configuration, String... variable) throws Exception {
    Path file = folder.resolve("config.json");
    if (configuration != null) {
      Files.writeString(file, configuration);
    }
    ProcessBuilder builder = program();
    for (int i = 0; i < variable.length; i += 2) {
      builder.environment().put(variable[i], variable[i + 1]);
    }
    process = builder.start();
    log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  private InetSocketAddress address() throws Exception {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(" serves at /")) {
        return servedAt(line);
      }
    }
    throw new AssertionError("the program did not start");
  }

  private int status() throws Exception {
    assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the program ended");
    return process.exitValue();
  }

  @AfterEach
  void stop() {
    process.destroyForcibly();
  }

  @Test
  void sigtermAnswersWhatWasTakenAndEndsWithStatusZero() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    try (FakeUpstream upstream =
        new FakeUpstream(
            (request, connection, out) -> {
              held.await();
              FakeUpstream.write(out, FakeUpstream.ok("fine"));
            })) {
      start(TestProxy.json(TestProxy.nowhere(), 1, upstream));
      InetSocketAddress address = address();
      try (TestClient open = new TestClient(address);
          TestClient idle = new TestClient(address);
          TestClient slow = new TestClient(address)) {
        slow.send(TestClient.order("2", 15_000).replace("Length: 4", "Length: 400"));
        idle.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        open.send(TestClient.order("1", 15_000));
        TestProxy.until(() -> upstream.requests.size() == 1);
        signal("TERM");
        awaitLog(" drains");
        assertEquals(
            503,
            idle.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status(),
            "clients here are served on");
        try (TestClient late = new TestClient(address)) {
          assertEquals(503, late.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
        } catch (IOException e) {
          // A busy machine came here only after the half second in which clients are still
          // accepted.
          assertTrue(process.isAlive(), "the request that was taken is still open");
        }
        assertTrue(idle.ended(), "an idle connection, in the end");
        assertEquals(
            408, slow.read().status(), "a request that has come in part is not waited for");
        held.countDown();
        TestClient.Reply reply = open.read();
        assertEquals("fine", reply.body());
        assertTrue(reply.head().contains("connection: close"), reply.head());
        assertTrue(open.ended());
      }
      assertEquals(0, status());
    }
  }

  private void signal(String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  private void awaitLog(String part) throws Exception {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(part)) {
        return;
      }
    }
    throw new AssertionError("the log never said: " + part);
  }

  /** Unhandled, SIGHUP ends a Java process. */
  @Test
  void sighupFollowsTheNewDiscoveryEachTimeAndABadFileChangesNothing() throws Exception {
    try (FakeUpstream upstream = FakeUpstream.serving("fine");
        FakeUpstream first = new FakeUpstream((r, c, out) -> {});
        FakeUpstream second = new FakeUpstream((r, c, out) -> {});
        FakeUpstream third = new FakeUpstream((r, c, out) -> {})) {
      start(
          TestProxy.json(first.address(), 1, upstream),
          "PROXY_DISCOVERY",
          TestProxy.text(first.address()));
      InetSocketAddress address = address();
      TestProxy.until(() -> first.requests.size() == 1);
      Path file = folder.resolve("config.json");
      Files.writeString(file, TestProxy.json(second.address(), 1, upstream));
      signal("HUP");
      TestProxy.until(() -> second.requests.size() == 1 && first.closedByPeer.get() == 1);
      Files.writeString(file, "{");
      signal("HUP");
      awaitLog("the configuration stays as it was");
      Files.writeString(file, TestProxy.json(third.address(), 1, upstream));
      signal("HUP");
      TestProxy.until(() -> third.requests.size() == 1 && second.closedByPeer.get() == 1);
      try (TestClient client = new TestClient(address)) {
        assertEquals("fine", client.call(TestClient.order("1", 15_000)).body());
      }
      process.destroy();
      assertEquals(0, status());
    }
  }

  /** Guards against reloads that never come and nobody misses until drains are broken. */
  @Test
  void startWithSighupIgnoredFollowsTheFileInstead() throws Exception {
    try (FakeUpstream first = new FakeUpstream((r, c, out) -> {});
        FakeUpstream second = new FakeUpstream((r, c, out) -> {});
        FakeUpstream third = new FakeUpstream((r, c, out) -> {})) {
      Path file =
          Files.writeString(folder.resolve("config.json"), TestProxy.json(first.address(), 1));
      ProcessBuilder builder = program("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
      process = builder.start();
      log =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      awaitLog("reload: started with SIGHUP ignored");
      address();
      TestProxy.until(() -> first.requests.size() == 1);
      Files.writeString(file, TestProxy.json(second.address(), 1));
      signal("HUP");
      TestProxy.until(() -> second.requests.size() == 1 && first.closedByPeer.get() == 1);
      Path other =
          Files.writeString(folder.resolve("other.json"), TestProxy.json(third.address(), 1));
      Files.move(other, file, StandardCopyOption.REPLACE_EXISTING);
      TestProxy.until(() -> third.requests.size() == 1 && second.closedByPeer.get() == 1);
      process.destroy();
      assertEquals(0, status());
    }
  }

  static Stream<Arguments> crowds() {
    String[] all = {IdleClients.NOTHING, IdleClients.ASKS_ONCE, IdleClients.HALF_A_HEAD};
    return Stream.of(
        Arguments.of((Object) new String[] {IdleClients.NOTHING}),
        Arguments.of((Object) new String[] {IdleClients.ASKS_ONCE}),
        Arguments.of((Object) all));
  }

  /**
   * All that may come together: idle clients and upstreams at their limits, and discovery that ends
   * each watch.
   */
  @ParameterizedTest
  @MethodSource("crowds")
  void processWithFewDescriptorsKeepsWithinThemAndGoesOn(String[] crowd) throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    FakeUpstream.Behaviour watch =
        (request, connection, out) ->
            FakeUpstream.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    FakeUpstream[] upstreams = new FakeUpstream[17];
    for (int i = 0; i < upstreams.length; i++) {
      upstreams[i] =
          new FakeUpstream(
              (request, connection, out) -> {
                held.await();
                FakeUpstream.write(out, FakeUpstream.ok("fine"));
              });
    }
    try (FakeUpstream server = new FakeUpstream(watch)) {
      Files.writeString(
          folder.resolve("config.json"),
          TestProxy.json(server.address(), 1, upstreams)
              .replace("\"sockets\":1024", "\"sockets\":256"));
      ProcessBuilder builder = program("sh", "-c", "ulimit -n 256; exec \"$0\" \"$@\"");
      process = builder.redirectOutput(folder.resolve("log").toFile()).start();
      TestProxy.until(() -> logged().contains(" serves at /"));
      String serving =
          logged().lines().filter(l -> l.contains(" serves at /")).findFirst().orElseThrow();
      InetSocketAddress address = servedAt(serving);
      TestProxy.until(() -> server.requests.size() == 1);
      List<TestClient> asking = new ArrayList<>();
      for (int i = 0; i < 102; i++) {
        asking.add(
            new TestClient(address)
                .send(TestClient.look("h" + i, 20_000, "").replace("Key: k", "Key: k" + i)));
      }
      try {
        TestProxy.until(() -> Stream.of(upstreams).mapToInt(u -> u.requests.size()).sum() == 102);
        AtomicInteger most = new AtomicInteger();
        try (IdleClients idle = new IdleClients(address, 600, true, crowd)) {
          server.behaviour = (request, connection, out) -> connection.close();
          server.connections.get(0).close();
          TestProxy.until(
              () -> {
                most.accumulateAndGet(descriptors(), Math::max);
                return server.requests.size() > 3 && idle.ended.get() > 100;
              });
          server.behaviour = watch;
          int watches = server.requests.size();
          TestProxy.until(
              () -> {
                most.accumulateAndGet(descriptors(), Math::max);
                return server.requests.size() > watches;
              });
          try (TestClient up = new TestClient(address)) {
            assertEquals(200, up.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
          }
          held.countDown();
          // Each is answered at once; refused as long as the held ones hold all room, or as their
          // time is the mean.
          int[] next = {0};
          TestProxy.until(
              () -> {
                try (TestClient client = new TestClient(address)) {
                  return client
                      .call(TestClient.look("n" + next[0]++, 15_000, ""))
                      .body()
                      .equals("fine");
                } catch (IOException e) {
                  throw new AssertionError("a new client was not answered", e);
                }
              });
          assertTrue(
              most.get() > 217 && most.get() < 256, "descriptors in use at the worst: " + most);
          assertFalse(logged().contains("Too many open files"), logged());
          for (TestClient client : asking) {
            assertTrue(
                List.of(200, 429).contains(client.read().status()),
                "served, or its time was up meanwhile");
          }
          process.destroy();
          assertEquals(0, status());
        }
      } finally {
        for (TestClient client : asking) {
          client.close();
        }
        for (FakeUpstream upstream : upstreams) {
          upstream.close();
        }
      }
    }
  }

  private String logged() {
    try {
      return Files.readString(folder.resolve("log"));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** How many descriptors the process has open. */
  private int descriptors() {
    return Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list().length;
  }

  @Test
  void badConfigurationIsOnePlainLineAndStatusTwo() throws Exception {
    String good = TestProxy.json(TestProxy.nowhere(), 1);
    for (String bad :
        new String[] {
          null,
          "",
          "{",
          "{}",
          good.replace("8c1f30d27a5be964", "seed"),
          good.replace("127.0.0.1:0", "localhost:0"),
          good.replace("127.0.0.1:0", "127.0.0.1:99999"),
          good.replace("\"aim-ns\":2000000000", "\"aim-ns\":0"),
          good.replace("\"sockets\":1024", "\"sockets\":0"),
          good.replace("\"sockets\":1024", "\"sockets\":5000000000")
        }) {
      start(bad);
      assertEquals(2, status(), bad);
      String[] lines = log.lines().toArray(String[]::new);
      assertEquals(1, lines.length, String.join("\n", lines));
      assertTrue(
          lines[0].startsWith("configuration: ") && !lines[0].contains("Exception in"), lines[0]);
    }
  }
}
