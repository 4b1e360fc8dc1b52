package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the program as a process with a limit of 256 file descriptors. */
class ProcessDescriptorLimitTest {

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

  static Stream<Arguments> idleClientTexts() {
    String[] allTexts = {
      IdleClients.NO_BYTES, IdleClients.READINESS_REQUEST, IdleClients.PARTIAL_HEAD
    };
    return Stream.of(
        Arguments.of((Object) new String[] {IdleClients.NO_BYTES}),
        Arguments.of((Object) new String[] {IdleClients.READINESS_REQUEST}),
        Arguments.of((Object) allTexts));
  }

  /**
   * Brings client and upstream connections to their limits while the discovery service closes the
   * connection of each watch. The process must not run out of descriptors ("Too many open files"),
   * must pass readiness checks and must serve new clients.
   */
  @ParameterizedTest
  @MethodSource("idleClientTexts")
  void processStaysWithinItsDescriptorLimitAndKeepsServing(String[] texts) throws Exception {
    CountDownLatch responsesReleased = new CountDownLatch(1);
    FakeHttpServer.RequestHandler silentWatch =
        (request, connection, output) ->
            FakeHttpServer.write(output, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    FakeHttpServer[] upstreams = new FakeHttpServer[17];
    for (int i = 0; i < upstreams.length; i++) {
      upstreams[i] =
          new FakeHttpServer(
              (request, connection, output) -> {
                responsesReleased.await();
                FakeHttpServer.write(output, FakeHttpServer.okResponse("fine"));
              });
    }
    try (FakeHttpServer discovery = FakeHttpServer.keepingWatchesAlive()) {
      Files.writeString(
          program.configurationFile(),
          TestProxy.configurationJson(discovery.address(), 1, upstreams)
              .replace("\"sockets\":1024", "\"sockets\":256"));
      program.startAfterShellCommandLoggingToFile("ulimit -n 256");
      InetSocketAddress address = program.awaitServingInLogFile();
      TestProxy.waitUntil(() -> discovery.requests.size() == 1);
      List<TestClient> waitingClients = new ArrayList<>();
      for (int i = 0; i < 102; i++) {
        waitingClients.add(
            new TestClient(address)
                .send(
                    TestClient.idempotentRequest("h" + i, 20_000, "")
                        .replace("Key: k", "Key: k" + i)));
      }
      try {
        TestProxy.waitUntil(
            () -> Stream.of(upstreams).mapToInt(upstream -> upstream.requests.size()).sum() == 102);
        AtomicInteger maxDescriptors = new AtomicInteger();
        try (IdleClients idleClients = new IdleClients(address, 600, true, texts)) {
          discovery.requestHandler = (request, connection, output) -> connection.close();
          discovery.connections.get(0).close();
          TestProxy.waitUntil(
              () -> {
                maxDescriptors.accumulateAndGet(program.openDescriptors(), Math::max);
                return discovery.requests.size() > 3 && idleClients.closedByServer.get() > 100;
              });
          discovery.requestHandler = silentWatch;
          int watchCount = discovery.requests.size();
          TestProxy.waitUntil(
              () -> {
                maxDescriptors.accumulateAndGet(program.openDescriptors(), Math::max);
                return discovery.requests.size() > watchCount;
              });
          try (TestClient readinessClient = new TestClient(address)) {
            assertEquals(
                200, readinessClient.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
          }
          responsesReleased.countDown();
          // Each request gets a response without delay. It may be a rejection while the earlier
          // requests hold all capacity or while their latency dominates the mean.
          int[] requestCount = {0};
          TestProxy.waitUntil(
              () -> {
                try (TestClient client = new TestClient(address)) {
                  return client
                      .exchange(TestClient.idempotentRequest("n" + requestCount[0]++, 15_000, ""))
                      .body()
                      .equals("fine");
                } catch (IOException e) {
                  throw new AssertionError("a new client did not get a response", e);
                }
              });
          assertTrue(
              maxDescriptors.get() > 217 && maxDescriptors.get() < 256,
              "maximum number of open descriptors: " + maxDescriptors);
          assertFalse(program.logFileText().contains("Too many open files"), program.logFileText());
          for (TestClient client : waitingClients) {
            assertTrue(
                List.of(200, 429).contains(client.readResponse().status()),
                "served, or rejected because its time was up");
          }
          program.terminate();
          assertEquals(0, program.awaitExitStatus());
        }
      } finally {
        for (TestClient client : waitingClients) {
          client.close();
        }
        for (FakeHttpServer upstream : upstreams) {
          upstream.close();
        }
      }
    }
  }
}
