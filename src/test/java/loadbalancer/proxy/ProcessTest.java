package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process: start, reload, graceful shutdown, exit status. */
class ProcessTest {

  @TempDir private Path folder;
  private TestProcess program;

  @BeforeEach
  void prepare() {
    program = new TestProcess(folder);
  }

  @AfterEach
  void stop() {
    program.close();
  }

  /** Starts the program with this configuration, or without a file where it is null. */
  private void start(String configuration, String... variables) throws Exception {
    if (configuration != null) {
      Files.writeString(program.configurationFile(), configuration);
    }
    program.start(variables);
  }

  @Test
  void sigtermCompletesRequestsInFlightAndExitsWithStatusZero() throws Exception {
    CountDownLatch responsesReleased = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, output) -> {
              responsesReleased.await();
              FakeHttpServer.write(output, FakeHttpServer.okResponse("fine"));
            })) {
      start(TestProxy.configurationJson(TestProxy.unreachableAddress(), 1, upstream));
      InetSocketAddress address = program.awaitServing();
      try (TestClient inFlight = new TestClient(address);
          TestClient idle = new TestClient(address);
          TestClient incomplete = new TestClient(address)) {
        incomplete.send(TestClient.keyedRequest("2", 15_000).replace("Length: 4", "Length: 400"));
        idle.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        inFlight.send(TestClient.keyedRequest("1", 15_000));
        TestProxy.waitUntil(() -> upstream.requests.size() == 1);
        program.signal("TERM");
        program.awaitLog("lifecycle: shutdown started");
        assertEquals(
            503,
            idle.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status(),
            "connected clients are still served");
        try (TestClient late = new TestClient(address)) {
          assertEquals(503, late.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
        } catch (IOException e) {
          // On a loaded machine the half second in which connections are accepted may be over.
          assertTrue(program.isAlive(), "the request in flight is still open");
        }
        assertTrue(idle.isClosedByServer(), "an idle connection is closed in the end");
        assertEquals(
            408, incomplete.readResponse().status(), "an incomplete request is not waited for");
        responsesReleased.countDown();
        TestClient.Response response = inFlight.readResponse();
        assertEquals("fine", response.body());
        assertTrue(response.head().contains("connection: close"), response.head());
        assertTrue(inFlight.isClosedByServer());
      }
      assertEquals(0, program.awaitExitStatus());
    }
  }

  /** Without a handler SIGHUP ends a Java process. */
  @Test
  void sighupMovesToTheNewDiscoveryAndAMalformedFileChangesNothing() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine");
        FakeHttpServer first = new FakeHttpServer((request, connection, output) -> {});
        FakeHttpServer second = new FakeHttpServer((request, connection, output) -> {});
        FakeHttpServer third = new FakeHttpServer((request, connection, output) -> {})) {
      start(
          TestProxy.configurationJson(first.address(), 1, upstream),
          "PROXY_DISCOVERY",
          TestProxy.hostAndPort(first.address()));
      InetSocketAddress address = program.awaitServing();
      TestProxy.waitUntil(() -> first.requests.size() == 1);
      Path file = program.configurationFile();
      Files.writeString(file, TestProxy.configurationJson(second.address(), 1, upstream));
      program.signal("HUP");
      TestProxy.waitUntil(
          () -> second.requests.size() == 1 && first.connectionsClosedByPeer.get() == 1);
      Files.writeString(file, "{");
      program.signal("HUP");
      program.awaitLog("reload: configuration unchanged");
      Files.writeString(file, TestProxy.configurationJson(third.address(), 1, upstream));
      program.signal("HUP");
      TestProxy.waitUntil(
          () -> third.requests.size() == 1 && second.connectionsClosedByPeer.get() == 1);
      try (TestClient client = new TestClient(address)) {
        assertEquals("fine", client.exchange(TestClient.keyedRequest("1", 15_000)).body());
      }
      program.terminate();
      assertEquals(0, program.awaitExitStatus());
    }
  }

  /** Otherwise reloads would be lost, and with them the address of the discovery service. */
  @Test
  void fileIsPolledWhereSighupIsIgnoredAtStart() throws Exception {
    try (FakeHttpServer first = new FakeHttpServer((request, connection, output) -> {});
        FakeHttpServer second = new FakeHttpServer((request, connection, output) -> {});
        FakeHttpServer third = new FakeHttpServer((request, connection, output) -> {})) {
      Path file =
          Files.writeString(
              program.configurationFile(), TestProxy.configurationJson(first.address(), 1));
      program.startAfterShellCommand("trap '' HUP");
      program.awaitLog("reload: polling started reason=SIGHUP ignored");
      program.awaitServing();
      TestProxy.waitUntil(() -> first.requests.size() == 1);
      Files.writeString(file, TestProxy.configurationJson(second.address(), 1));
      program.signal("HUP");
      TestProxy.waitUntil(
          () -> second.requests.size() == 1 && first.connectionsClosedByPeer.get() == 1);
      Path other =
          Files.writeString(
              folder.resolve("other.json"), TestProxy.configurationJson(third.address(), 1));
      Files.move(other, file, StandardCopyOption.REPLACE_EXISTING);
      TestProxy.waitUntil(
          () -> third.requests.size() == 1 && second.connectionsClosedByPeer.get() == 1);
      program.terminate();
      assertEquals(0, program.awaitExitStatus());
    }
  }

  @Test
  void invalidConfigurationIsOneLogLineAndExitStatusTwo() throws Exception {
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
      assertEquals(2, program.awaitExitStatus(), bad);
      String[] lines = program.remainingLog();
      assertEquals(1, lines.length, String.join("\n", lines));
      assertTrue(
          lines[0].startsWith("configuration: ") && !lines[0].contains("Exception in"), lines[0]);
    }
  }
}
