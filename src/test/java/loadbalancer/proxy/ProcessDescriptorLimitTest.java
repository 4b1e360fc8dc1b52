package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
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

/** The program as a process with few file descriptors. */
class ProcessDescriptorLimitTest {

  private static final long HEARTBEAT_MILLIS = 500;

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

  static Stream<Arguments> crowds() {
    String[] all = {IdleClients.NO_BYTES, IdleClients.READINESS_REQUEST, IdleClients.PARTIAL_HEAD};
    return Stream.of(
        Arguments.of((Object) new String[] {IdleClients.NO_BYTES}),
        Arguments.of((Object) new String[] {IdleClients.READINESS_REQUEST}),
        Arguments.of((Object) all));
  }

  /** A watch that stands until its connection ends, however long the process takes to start. */
  private static void watchWithHeartbeats(String request, Socket connection, OutputStream output)
      throws Exception {
    FakeHttpServer.write(output, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (!connection.isClosed()) {
      FakeHttpServer.write(output, "1\r\n\n\r\n");
      Thread.sleep(HEARTBEAT_MILLIS);
    }
  }

  /** Idle clients and upstreams at their limits together, and a discovery that ends each watch. */
  @ParameterizedTest
  @MethodSource("crowds")
  void processStaysWithinItsDescriptorLimitAndKeepsServing(String[] crowd) throws Exception {
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
    try (FakeHttpServer discovery =
        new FakeHttpServer(ProcessDescriptorLimitTest::watchWithHeartbeats)) {
      Files.writeString(
          program.configurationFile(),
          TestProxy.configurationJson(discovery.address(), 1, upstreams)
              .replace("\"sockets\":1024", "\"sockets\":256"));
      program.startAfterShellCommandLoggingToFile("ulimit -n 256");
      InetSocketAddress address = program.awaitServingInLogFile();
      TestProxy.waitUntil(() -> discovery.requests.size() == 1);
      List<TestClient> waiting = new ArrayList<>();
      for (int i = 0; i < 102; i++) {
        waiting.add(
            new TestClient(address)
                .send(
                    TestClient.idempotentRequest("h" + i, 20_000, "")
                        .replace("Key: k", "Key: k" + i)));
      }
      try {
        TestProxy.waitUntil(
            () -> Stream.of(upstreams).mapToInt(upstream -> upstream.requests.size()).sum() == 102);
        AtomicInteger maxDescriptors = new AtomicInteger();
        try (IdleClients idle = new IdleClients(address, 600, true, crowd)) {
          discovery.requestHandler = (request, connection, output) -> connection.close();
          discovery.connections.get(0).close();
          TestProxy.waitUntil(
              () -> {
                maxDescriptors.accumulateAndGet(program.openDescriptors(), Math::max);
                return discovery.requests.size() > 3 && idle.closedByServer.get() > 100;
              });
          discovery.requestHandler = silentWatch;
          int watches = discovery.requests.size();
          TestProxy.waitUntil(
              () -> {
                maxDescriptors.accumulateAndGet(program.openDescriptors(), Math::max);
                return discovery.requests.size() > watches;
              });
          try (TestClient up = new TestClient(address)) {
            assertEquals(200, up.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
          }
          responsesReleased.countDown();
          // Each gets a response at once: a rejection while the waiting requests hold all capacity
          // or their latency dominates the average.
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
              maxDescriptors.get() > 217 && maxDescriptors.get() < 256,
              "most descriptors in use: " + maxDescriptors);
          assertFalse(program.logFileText().contains("Too many open files"), program.logFileText());
          for (TestClient client : waiting) {
            assertTrue(
                List.of(200, 429).contains(client.readResponse().status()),
                "served, or out of time by then");
          }
          program.terminate();
          assertEquals(0, program.awaitExitStatus());
        }
      } finally {
        for (TestClient client : waiting) {
          client.close();
        }
        for (FakeHttpServer upstream : upstreams) {
          upstream.close();
        }
      }
    }
  }
}
