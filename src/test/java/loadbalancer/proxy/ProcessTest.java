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

/** Tests the program as a process: start, reload, graceful shutdown and exit status. */
class ProcessTest {

  @TempDir private Path folder;
  private TestProcess program;

  @BeforeEach
  void createProcess() {
    program = new TestProcess(folder);
  }

  @AfterEach
  void killProcess() {
    program.close();
  }

  /**
   * Starts the program.
   *
   * @param configuration the text of the configuration file; null for a missing file
   * @param variables additional environment variables, alternating names and values
   */
  private void start(String configuration, String... variables) throws Exception {
    if (configuration != null) {
      Files.writeString(program.configurationFile(), configuration);
    }
    program.start(variables);
  }

  @Test
  void sigtermCompletesRequestsInFlightAndExitsWithStatusZero() throws Exception {
    CountDownLatch responseReleased = new CountDownLatch(1);
    try (FakeHttpServer upstream =
        new FakeHttpServer(
            (request, connection, output) -> {
              responseReleased.await();
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
            "an open connection is still served");
        try (TestClient newClient = new TestClient(address)) {
          assertEquals(503, newClient.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
        } catch (IOException e) {
          // On a loaded machine, the 500 ms during which the proxy still listens may be over.
          assertTrue(program.isAlive(), "the process runs until the request in flight is complete");
        }
        assertTrue(idle.isClosedByServer(), "the idle connection is closed");
        assertEquals(
            408,
            incomplete.readResponse().status(),
            "the incomplete request gets a 408 and does not delay the shutdown");
        responseReleased.countDown();
        TestClient.Response response = inFlight.readResponse();
        assertEquals("fine", response.body());
        assertTrue(response.head().contains("connection: close"), response.head());
        assertTrue(inFlight.isClosedByServer());
      }
      assertEquals(0, program.awaitExitStatus());
    }
  }

  /**
   * SIGHUP terminates a JVM without a handler. The proxy instead has to connect to the new
   * discovery address, close the watch at the old one and keep serving. A malformed file must
   * neither change the configuration nor prevent later reloads.
   */
  @Test
  void sighupMovesWatchToNewDiscoveryAddressAndMalformedFileChangesNothing() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine");
        FakeHttpServer first = FakeHttpServer.keepingWatchesAlive();
        FakeHttpServer second = FakeHttpServer.keepingWatchesAlive();
        FakeHttpServer third = FakeHttpServer.keepingWatchesAlive()) {
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

  /**
   * A JVM started with SIGHUP ignored, as by nohup, cannot handle it. Without polling, reloads
   * would be lost, and with them the new address of the discovery service.
   */
  @Test
  void configurationFileIsPolledIfSighupIsIgnoredAtStart() throws Exception {
    try (FakeHttpServer first = FakeHttpServer.keepingWatchesAlive();
        FakeHttpServer second = FakeHttpServer.keepingWatchesAlive();
        FakeHttpServer third = FakeHttpServer.keepingWatchesAlive()) {
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
      Path replacement =
          Files.writeString(
              folder.resolve("replacement.json"), TestProxy.configurationJson(third.address(), 1));
      Files.move(replacement, file, StandardCopyOption.REPLACE_EXISTING);
      TestProxy.waitUntil(
          () -> third.requests.size() == 1 && second.connectionsClosedByPeer.get() == 1);
      program.terminate();
      assertEquals(0, program.awaitExitStatus());
    }
  }

  @Test
  void invalidConfigurationLogsOneLineAndExitsWithStatusTwo() throws Exception {
    String valid = TestProxy.configurationJson(TestProxy.unreachableAddress(), 1);
    for (String invalid :
        new String[] {
          null,
          "",
          "{",
          "{}",
          valid.replace("8c1f30d27a5be964", "seed"),
          valid.replace("127.0.0.1:0", "localhost:0"),
          valid.replace("127.0.0.1:0", "127.0.0.1:99999"),
          valid.replace("\"aim-ns\":2000000000", "\"aim-ns\":0"),
          valid.replace("\"sockets\":1024", "\"sockets\":0"),
          valid.replace("\"sockets\":1024", "\"sockets\":5000000000")
        }) {
      start(invalid);
      assertEquals(2, program.awaitExitStatus(), invalid);
      String[] lines = program.remainingLog();
      assertEquals(1, lines.length, String.join("\n", lines));
      assertTrue(
          lines[0].startsWith("configuration: ") && !lines[0].contains("Exception in"), lines[0]);
    }
  }
}
