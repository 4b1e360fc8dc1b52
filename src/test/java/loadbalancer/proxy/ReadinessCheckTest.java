package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests which requests for the path of the readiness check get its response. */
class ReadinessCheckTest {

  static Stream<Named<String>> clientRequestsForTheReadinessPath() {
    String idempotent = TestClient.idempotentRequest("1", 15_000, "").replace("/look/a?b=c", "/up");
    String keyed = TestClient.keyedRequest("1", 15_000).replace("/order", "/up");
    return Stream.of(
        Named.of("request with a body", keyed),
        Named.of("request without a body", idempotent),
        Named.of("request that names only a class", header("X-Service-Class: look")),
        Named.of("request that names only an id", header("X-Correlation-Id: 1")),
        Named.of("request with an idempotency key", header("Idempotency-Key: once-1")),
        Named.of("check with a body", header("Content-Length: 4") + "body"),
        Named.of("POST without headers", IdleClients.READINESS_REQUEST.replace("GET", "POST")),
        Named.of("DELETE without headers", IdleClients.READINESS_REQUEST.replace("GET", "DELETE")));
  }

  private static String header(String line) {
    return IdleClients.READINESS_REQUEST.replace("Host: h", "Host: h\r\n" + line);
  }

  /** Guards against a 200 for a client's request that no upstream has run. */
  @ParameterizedTest
  @MethodSource("clientRequestsForTheReadinessPath")
  void clientRequestForTheReadinessPathGetsAnError(String request) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals(400, client.exchange(request).status());
        assertEquals(0, upstream.requests.size());
      }
    }
  }

  /** Guards against requests of a class that is named like the readiness check. */
  @Test
  void requestOfClassNamedUpIsForwarded() throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      String configuration =
          TestProxy.configurationJson(TestProxy.unreachableAddress(), 1, upstream)
              .replace("\"name\":\"look\"", "\"name\":\"up\"");
      String request =
          TestClient.idempotentRequest("1", 15_000, "")
              .replace("/look/a?b=c", "/up")
              .replace("Class: look", "Class: up");
      try (TestProxy proxy = new TestProxy(configuration);
          TestClient client = new TestClient(proxy.address)) {
        assertEquals("fine", client.exchange(request).body());
        assertEquals("", client.exchange(IdleClients.READINESS_REQUEST).body());
        assertEquals(1, upstream.requests.size());
      }
    }
  }
}
