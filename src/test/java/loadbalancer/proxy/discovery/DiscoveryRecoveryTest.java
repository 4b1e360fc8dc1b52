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

/** A complete proxy with a fake discovery service: watches recover and list changes take effect. */
class DiscoveryRecoveryTest {

  /** The policy waits for at most 1 s before it restarts a failed watch. */
  private static final long LONGER_THAN_ANY_BACKOFF_MILLIS = 1_500;

  @Test
  void proxyRetriesAFailedWatchAndFollowsAnEndpointToItsNewAddress() throws Exception {
    try (FakeHttpServer oldEndpoint = FakeHttpServer.respondingWith("before");
        FakeHttpServer newEndpoint = FakeHttpServer.respondingWith("after");
        FakeHttpServer discoveryServer =
            new FakeHttpServer(
                (request, connection, output) ->
                    FakeHttpServer.write(output, "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n"))) {
      try (TestProxy proxy = new TestProxy(discoveryServer.address(), 1, oldEndpoint);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals(
            "before", client.exchange(TestClient.idempotentRequest("1", 15_000, "")).body());
        discoveryServer.requestHandler =
            (request, connection, output) -> {
              FakeHttpServer.write(output, RESPONSE_HEAD);
              writeChunk(
                  output,
                  listJson(
                      8,
                      false,
                      TestProxy.endpointJson("s-0", newEndpoint.address(), "in_service")));
            };
        TestProxy.waitUntil(() -> oldEndpoint.connectionsClosedByPeer.get() == 1);
        assertEquals(
            "after", client.exchange(TestClient.idempotentRequest("2", 15_000, "")).body());
      }
    }
  }

  static Stream<Arguments> idleClientMixes() {
    String[][] idleClientMixes = {
      {IdleClients.NO_BYTES},
      {IdleClients.READINESS_REQUEST},
      {IdleClients.PARTIAL_HEAD},
      {IdleClients.NO_BYTES, IdleClients.READINESS_REQUEST, IdleClients.PARTIAL_HEAD}
    };
    return Stream.of(idleClientMixes)
        .flatMap(mix -> Stream.of(Arguments.of(true, mix), Arguments.of(false, mix)));
  }

  /**
   * Guards against a watch that cannot recover because idle clients hold all sockets that clients
   * may use, after discovery stops sending or closes every watch for a while.
   */
  @ParameterizedTest
  @MethodSource("idleClientMixes")
  void watchRecoversAndClientsAreServedWhileIdleClientsHoldAllSockets(
      boolean discoveryStaysSilent, String[] idleClientRequests) throws Exception {
    try (FakeHttpServer oldEndpoint = FakeHttpServer.respondingWith("before");
        FakeHttpServer newEndpoint = FakeHttpServer.respondingWith("after");
        FakeHttpServer discoveryServer =
            new FakeHttpServer(
                (request, connection, output) -> FakeHttpServer.write(output, RESPONSE_HEAD))) {
      try (TestProxy proxy =
          new TestProxy(
              TestProxy.configurationJson(discoveryServer.address(), 1, oldEndpoint)
                  .replace("\"sockets\":1024", "\"sockets\":256"))) {
        TestProxy.waitUntil(() -> discoveryServer.requests.size() == 1);
        try (IdleClients idleClients =
            new IdleClients(proxy.address, 600, true, idleClientRequests)) {
          TestProxy.waitUntil(() -> idleClients.closedByServer.get() > 0);
          if (!discoveryStaysSilent) {
            discoveryServer.requestHandler = (request, connection, output) -> connection.close();
            discoveryServer.connections.get(0).close();
            TestProxy.waitUntil(() -> discoveryServer.requests.size() > 2);
          }
          discoveryServer.requestHandler =
              (request, connection, output) -> {
                FakeHttpServer.write(output, RESPONSE_HEAD);
                writeChunk(
                    output,
                    listJson(
                        8,
                        false,
                        TestProxy.endpointJson("s-0", newEndpoint.address(), "in_service")));
              };
          int watchCount = discoveryServer.requests.size();
          for (int i = 0; discoveryServer.requests.size() == watchCount; i++) {
            assertEquals(
                200,
                responseTo(proxy, TestClient.idempotentRequest("d" + i, 15_000, "")).status(),
                "served from the configured list");
          }
          int[] requestCount = {0};
          TestProxy.waitUntil(
              () ->
                  responseTo(
                          proxy, TestClient.idempotentRequest("l" + requestCount[0]++, 15_000, ""))
                      .body()
                      .equals("after"));
          assertEquals(200, responseTo(proxy, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
        }
      }
    }
  }

  /** Sends a request on a new connection and returns the response. */
  private static TestClient.Response responseTo(TestProxy proxy, String request) {
    try (TestClient client = new TestClient(proxy.address)) {
      return client.exchange(request);
    } catch (IOException e) {
      throw new AssertionError("a request on a new connection failed", e);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"pushed", "on_request"})
  void proxyWatchesTheListInEveryRegistryMode(String mode) throws Exception {
    try (FakeHttpServer discoveryServer =
        new FakeHttpServer(
            (request, connection, output) -> FakeHttpServer.write(output, RESPONSE_HEAD))) {
      String configuration =
          TestProxy.configurationJson(discoveryServer.address(), 1).replace("on_request", mode);
      TestProxy proxy = new TestProxy(configuration);
      try (proxy) {
        TestProxy.waitUntil(() -> discoveryServer.requests.size() == 1);
      }
      assertTrue(
          discoveryServer.requests.get(0).startsWith("GET /discovery/hosts?watch=1&after=7 "),
          discoveryServer.requests.get(0));
    }
  }

  @Test
  void closedProxyEndsItsWatchAndStartsNoOther() throws Exception {
    try (FakeHttpServer discoveryServer =
        new FakeHttpServer(
            (request, connection, output) -> FakeHttpServer.write(output, RESPONSE_HEAD))) {
      TestProxy proxy = new TestProxy(discoveryServer.address(), 1);
      try (proxy) {
        TestProxy.waitUntil(() -> !discoveryServer.requests.isEmpty());
      }
      TestProxy.waitUntil(
          () ->
              discoveryServer.connectionsClosedByPeer.get() == discoveryServer.connections.size());
      int watchCount = discoveryServer.requests.size();
      Thread.sleep(LONGER_THAN_ANY_BACKOFF_MILLIS);
      assertEquals(watchCount, discoveryServer.requests.size());
    }
  }

  @Test
  void endpointMissingFromAFullListGetsNoMoreRequests() throws Exception {
    try (FakeHttpServer kept = FakeHttpServer.respondingWith("kept");
        FakeHttpServer removed = FakeHttpServer.respondingWith("removed");
        FakeHttpServer discoveryServer =
            new FakeHttpServer(
                (request, connection, output) -> {
                  FakeHttpServer.write(output, RESPONSE_HEAD);
                  writeChunk(
                      output,
                      listJson(
                          8, true, TestProxy.endpointJson("s-0", kept.address(), "in_service")));
                  FakeHttpServer.sendHeartbeats(connection, output);
                })) {
      try (TestProxy proxy = new TestProxy(discoveryServer.address(), 1, kept, removed)) {
        TestProxy.waitUntil(() -> discoveryServer.requests.size() == 1);
        try (TestClient client = new TestClient(proxy.address)) {
          int[] requestCount = {0};
          TestProxy.waitUntil(() -> allServedByKeptEndpoint(client, requestCount));
        }
      }
    }
  }

  /** Returns whether requests with 20 different session keys all reach the kept endpoint. */
  private static boolean allServedByKeptEndpoint(TestClient client, int[] requestCount) {
    try {
      boolean all = true;
      for (int i = 0; i < 20; i++) {
        String request =
            TestClient.idempotentRequest("l" + requestCount[0]++, 15_000, "")
                .replace("Key: k", "Key: k" + i);
        all &= client.exchange(request).body().equals("kept");
      }
      return all;
    } catch (IOException e) {
      return false;
    }
  }
}
