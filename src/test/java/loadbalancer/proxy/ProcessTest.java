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
import loadbalancer.config.IpSocketAddress;
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
    return IpSocketAddress.parse(line.substring(line.indexOf(" address=") + " address=".length()))
        .orElseThrow();
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
      if (line.contains("lifecycle: serving ")) {
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
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, out) -> {
              held.await();
              FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
            })) {
      start(TestProxy.configurationJson(TestProxy.unreachableAddress(), 1, upstream));
      InetSocketAddress address = address();
      try (TestClient open = new TestClient(address);
          TestClient idle = new TestClient(address);
          TestClient slow = new TestClient(address)) {
        slow.send(TestClient.keyedRequest("2", 15_000).replace("Length: 4", "Length: 400"));
        idle.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        open.send(TestClient.keyedRequest("1", 15_000));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        signal("TERM");
        awaitLog("lifecycle: shutdown started");
        assertEquals(
            503,
            idle.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status(),
            "clients here are served on");
        try (TestClient late = new TestClient(address)) {
          assertEquals(503, late.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
        } catch (IOException e) {
          // A busy machine came here only after the half second in which clients are still
          // accepted.
          assertTrue(process.isAlive(), "the request that was taken is still open");
        }
        assertTrue(idle.isClosedByServer(), "an idle connection, in the end");
        assertEquals(
            408, slow.readResponse().status(), "a request that has come in part is not waited for");
        held.countDown();
        TestClient.Response reply = open.readResponse();
        assertEquals("fine", reply.body());
        assertTrue(reply.head().contains("connection: close"), reply.head());
        assertTrue(open.isClosedByServer());
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
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine");
        FakeHttpServer first = new FakeHttpServer((r, c, out) -> {});
        FakeHttpServer second = new FakeHttpServer((r, c, out) -> {});
        FakeHttpServer third = new FakeHttpServer((r, c, out) -> {})) {
      start(
          TestProxy.configurationJson(first.address(), 1, upstream),
          "PROXY_DISCOVERY",
          TestProxy.hostAndPort(first.address()));
      InetSocketAddress address = address();
      TestProxy.waitUntil(() -> first.requests.size() == 1);
      Path file = folder.resolve("config.json");
      Files.writeString(file, TestProxy.configurationJson(second.address(), 1, upstream));
      signal("HUP");
      TestProxy.waitUntil(
          () -> second.requests.size() == 1 && first.connectionsClosedByPeer.get() == 1);
      Files.writeString(file, "{");
      signal("HUP");
      awaitLog("reload: configuration unchanged");
      Files.writeString(file, TestProxy.configurationJson(third.address(), 1, upstream));
      signal("HUP");
      TestProxy.waitUntil(
          () -> third.requests.size() == 1 && second.connectionsClosedByPeer.get() == 1);
      try (TestClient client = new TestClient(address)) {
        assertEquals("fine", client.exchange(TestClient.keyedRequest("1", 15_000)).body());
      }
      process.destroy();
      assertEquals(0, status());
    }
  }

  /** Guards against reloads that never come and nobody misses until drains are broken. */
  @Test
  void startWithSighupIgnoredFollowsTheFileInstead() throws Exception {
    try (FakeHttpServer first = new FakeHttpServer((r, c, out) -> {});
        FakeHttpServer second = new FakeHttpServer((r, c, out) -> {});
        FakeHttpServer third = new FakeHttpServer((r, c, out) -> {})) {
      Path file =
          Files.writeString(
              folder.resolve("config.json"), TestProxy.configurationJson(first.address(), 1));
      ProcessBuilder builder = program("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
      process = builder.start();
      log =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      awaitLog("reload: polling started reason=SIGHUP ignored");
      address();
      TestProxy.waitUntil(() -> first.requests.size() == 1);
      Files.writeString(file, TestProxy.configurationJson(second.address(), 1));
      signal("HUP");
      TestProxy.waitUntil(
          () -> second.requests.size() == 1 && first.connectionsClosedByPeer.get() == 1);
      Path other =
          Files.writeString(
              folder.resolve("other.json"), TestProxy.configurationJson(third.address(), 1));
      Files.move(other, file, StandardCopyOption.REPLACE_EXISTING);
      TestProxy.waitUntil(
          () -> third.requests.size() == 1 && second.connectionsClosedByPeer.get() == 1);
      process.destroy();
      assertEquals(0, status());
    }
  }

  static Stream<Arguments> crowds() {
    String[] all = {IdleClients.NO_BYTES, IdleClients.READINESS_REQUEST, IdleClients.PARTIAL_HEAD};
    return Stream.of(
        Arguments.of((Object) new String[] {IdleClients.NO_BYTES}),
        Arguments.of((Object) new String[] {IdleClients.READINESS_REQUEST}),
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
    FakeHttpServer.RequestHandler watch =
        (request, connection, out) ->
            FakeHttpServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    FakeHttpServer[] upstreams = new FakeHttpServer[17];
    for (int i = 0; i < upstreams.length; i++) {
      upstreams[i] =
          new FakeHttpServer(
              (request, connection, out) -> {
                held.await();
                FakeHttpServer.write(out, FakeHttpServer.okResponse("fine"));
              });
    }
    try (FakeHttpServer server = new FakeHttpServer(watch)) {
      Files.writeString(
          folder.resolve("config.json"),
          TestProxy.configurationJson(server.address(), 1, upstreams)
              .replace("\"sockets\":1024", "\"sockets\":256"));
      ProcessBuilder builder = program("sh", "-c", "ulimit -n 256; exec \"$0\" \"$@\"");
      process = builder.redirectOutput(folder.resolve("log").toFile()).start();
      TestProxy.waitUntil(() -> logged().contains("lifecycle: serving "));
      String serving =
          logged().lines().filter(l -> l.contains("lifecycle: serving ")).findFirst().orElseThrow();
      InetSocketAddress address = servedAt(serving);
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      List<TestClient> asking = new ArrayList<>();
      for (int i = 0; i < 102; i++) {
        asking.add(
            new TestClient(address)
                .send(
                    TestClient.idempotentRequest("h" + i, 20_000, "")
                        .replace("Key: k", "Key: k" + i)));
      }
      try {
        TestProxy.waitUntil(
            () -> Stream.of(upstreams).mapToInt(u -> u.requests.size()).sum() == 102);
        AtomicInteger most = new AtomicInteger();
        try (IdleClients idle = new IdleClients(address, 600, true, crowd)) {
          server.requestHandler = (request, connection, out) -> connection.close();
          server.connections.get(0).close();
          TestProxy.waitUntil(
              () -> {
                most.accumulateAndGet(descriptors(), Math::max);
                return server.requests.size() > 3 && idle.closedByServer.get() > 100;
              });
          server.requestHandler = watch;
          int watches = server.requests.size();
          TestProxy.waitUntil(
              () -> {
                most.accumulateAndGet(descriptors(), Math::max);
                return server.requests.size() > watches;
              });
          try (TestClient up = new TestClient(address)) {
            assertEquals(200, up.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
          }
          held.countDown();
          // Each is answered at once; refused as long as the held ones hold all room, or as their
          // time is the mean.
          int[] next = {0};
          TestProxy.waitUntil(
              () -> {
                try (TestClient client = new TestClient(address)) {
                  return client
                      .exchange(TestClient.idempotentRequest("n" + next[0]++, 15_000, ""))
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
                List.of(200, 429).contains(client.readResponse().status()),
                "served, or its time was up meanwhile");
          }
          process.destroy();
          assertEquals(0, status());
        }
      } finally {
        for (TestClient client : asking) {
          client.close();
        }
        for (FakeHttpServer upstream : upstreams) {
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
    String good = TestProxy.configurationJson(TestProxy.unreachableAddress(), 1);
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
