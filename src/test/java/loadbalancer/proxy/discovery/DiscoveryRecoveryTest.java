package loadbalancer.proxy.discovery;

import static loadbalancer.proxy.discovery.FakeDiscovery.RESPONSE_HEAD;
import static loadbalancer.proxy.discovery.FakeDiscovery.listJson;
import static loadbalancer.proxy.discovery.FakeDiscovery.writeChunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.stream.Stream;
import loadbalancer.proxy.FakeHttpServer;
import loadbalancer.proxy.IdleClients;
import loadbalancer.proxy.TestClient;
import loadbalancer.proxy.TestProxy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A whole proxy and its endpoint list: the watch recovers and the proxy follows the list. */
class DiscoveryRecoveryTest {

  @Test
  void proxyWatchesAgainAfterAFailureAndFollowsAnEndpointThatMoved() throws Exception {
    try (FakeHttpServer before = FakeHttpServer.respondingWith("before");
        FakeHttpServer after = FakeHttpServer.respondingWith("after");
        FakeHttpServer server =
            new FakeHttpServer(
                (request, connection, output) ->
                    FakeHttpServer.write(output, "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n"))) {
      TestProxy proxy = new TestProxy(server.address(), 1, before);
      try (TestClient client = new TestClient(proxy.address)) {
        assertEquals(
            "before", client.exchange(TestClient.idempotentRequest("1", 15_000, "")).body());
        server.requestHandler =
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(
                  output,
                  listJson(8, false, TestProxy.endpointJson("s-0", after.address(), "in_service")));
            };
        TestProxy.waitUntil(() -> before.connectionsClosedByPeer.get() == 1);
        assertEquals(
            "after", client.exchange(TestClient.idempotentRequest("2", 15_000, "")).body());
      }
    }
  }

  static Stream<Arguments> crowds() {
    String[][] crowds = {
      {IdleClients.NO_BYTES},
      {IdleClients.READINESS_REQUEST},
      {IdleClients.PARTIAL_HEAD},
      {IdleClients.NO_BYTES, IdleClients.READINESS_REQUEST, IdleClients.PARTIAL_HEAD}
    };
    return Stream.of(crowds).flatMap(c -> Stream.of(Arguments.of(true, c), Arguments.of(false, c)));
  }

  /**
   * Discovery falls silent, or ends each watch for a while, and idle clients hold all descriptors
   * that clients may have.
   */
  @ParameterizedTest
  @MethodSource("crowds")
  void watchRecoversAndClientsAreServedAlthoughIdleClientsHoldAllSockets(
      boolean silent, String[] crowd) throws Exception {
    try (FakeHttpServer before = FakeHttpServer.respondingWith("before");
        FakeHttpServer after = FakeHttpServer.respondingWith("after");
        FakeHttpServer server =
            new FakeHttpServer(
                (request, connection, output) -> FakeHttpServer.write(output, RESPONSE_HEAD))) {
      TestProxy proxy =
          new TestProxy(
              TestProxy.configurationJson(server.address(), 1, before)
                  .replace("\"sockets\":1024", "\"sockets\":256"));
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      try (IdleClients idle = new IdleClients(proxy.address, 600, true, crowd)) {
        TestProxy.waitUntil(() -> idle.closedByServer.get() > 0);
        if (!silent) {
          server.requestHandler = (request, connection, output) -> connection.close();
          server.connections.get(0).close();
          TestProxy.waitUntil(() -> server.requests.size() > 2);
        }
        server.requestHandler =
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(
                  output,
                  listJson(8, false, TestProxy.endpointJson("s-0", after.address(), "in_service")));
            };
        int watches = server.requests.size();
        for (int i = 0; server.requests.size() == watches; i++) {
          assertEquals(
              200,
              responseTo(proxy, TestClient.idempotentRequest("d" + i, 15_000, "")).status(),
              "with the known list");
        }
        int[] calls = {0};
        TestProxy.waitUntil(
            () ->
                responseTo(proxy, TestClient.idempotentRequest("l" + calls[0]++, 15_000, ""))
                    .body()
                    .equals("after"));
        assertEquals(200, responseTo(proxy, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
      }
    }
  }

  /** The response to a new client's first request. */
  private static TestClient.Response responseTo(TestProxy proxy, String request) {
    try (TestClient client = new TestClient(proxy.address)) {
      return client.exchange(request);
    } catch (IOException e) {
      throw new AssertionError("a client was not served", e);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"pushed", "on_request"})
  void proxyWatchesTheListInEveryListMode(String mode) throws Exception {
    try (FakeHttpServer server =
        new FakeHttpServer(
            (request, connection, output) -> FakeHttpServer.write(output, RESPONSE_HEAD))) {
      new TestProxy(TestProxy.configurationJson(server.address(), 1).replace("on_request", mode));
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      assertTrue(
          server.requests.get(0).startsWith("GET /discovery/hosts?watch=1&after=7 "),
          server.requests.get(0));
    }
  }

  @Test
  void endpointAbsentFromAFullListGetsNoMoreRequests() throws Exception {
    try (FakeHttpServer kept = FakeHttpServer.respondingWith("kept");
        FakeHttpServer removed = FakeHttpServer.respondingWith("removed");
        FakeHttpServer server =
            new FakeHttpServer(
                (request, connection, output) -> {
                  FakeHttpServer.write(output, RESPONSE_HEAD);
                  writeChunk(
                      output,
                      listJson(
                          8, true, TestProxy.endpointJson("s-0", kept.address(), "in_service")));
                })) {
      TestProxy proxy = new TestProxy(server.address(), 1, kept, removed);
      TestProxy.waitUntil(() -> server.requests.size() == 1);
      try (TestClient client = new TestClient(proxy.address)) {
        int[] calls = {0};
        TestProxy.waitUntil(() -> allServedByKeptEndpoint(client, calls));
      }
    }
  }

  /** Once the list has arrived no session key leads to the removed endpoint. */
  private static boolean allServedByKeptEndpoint(TestClient client, int[] calls) {
    try {
      boolean all = true;
      for (int i = 0; i < 20; i++) {
        String request =
            TestClient.idempotentRequest("l" + calls[0]++, 15_000, "")
                .replace("Key: k", "Key: k" + i);
        all &= client.exchange(request).body().equals("kept");
      }
      return all;
    } catch (IOException e) {
      return false;
    }
  }
}
