package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that what a client sent reaches an upstream byte for byte or is rejected. */
class UnchangedForwardingTest {

  private static final int MAX_BYTE = 0xff;

  private static final String REQUEST =
      TestClient.keyedRequest("1", 15_000).replace("/order", "/order/path?query=1");

  /** Each text of the request after which a byte is inserted. */
  static Stream<Named<String>> places() {
    return Stream.of(
        Named.of("path", "/order/pa"),
        Named.of("query", "?query="),
        Named.of("request id", "X-Correlation-Id: id"),
        Named.of("idempotency key", "Idempotency-Key: onc"));
  }

  /** Returns the line of the request that contains the text; chars stand for bytes. */
  private static String lineWith(String text, String request) {
    return request.lines().filter(line -> line.contains(text)).findFirst().orElse("none");
  }

  private static byte[] bytes(String request) {
    return request.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Guards against bytes that are decoded as one text and encoded as another. */
  @ParameterizedTest
  @MethodSource("places")
  void anyByteIsForwardedUnchangedOrTheRequestIsRejected(String place) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream)) {
        for (int value = 0; value <= MAX_BYTE; value++) {
          upstream.requests.clear();
          String request = REQUEST.replace("Id: 1", "Id: id" + value);
          request = request.replace(place, place + (char) value);
          try (TestClient client = new TestClient(proxy.address)) {
            boolean isServed = client.send(bytes(request)).readResponse().status() == 200;
            String reason = "byte " + value;
            assertEquals(isServed ? 1 : 0, upstream.requests.size(), reason);
            if (isServed) {
              assertEquals(
                  lineWith(place, request), lineWith(place, upstream.requests.get(0)), reason);
            }
          }
        }
      }
    }
  }

  /** Guards against a folded id or key, whose lines the decoder joins. */
  @ParameterizedTest
  @MethodSource("places")
  void foldedValueIsRejected(String place) throws Exception {
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        String request = REQUEST.replace("Id: 1", "Id: id1").replace(place, place + "\r\n ");
        assertTrue(client.exchange(request).status() >= 400);
        assertEquals(0, upstream.requests.size());
      }
    }
  }

  @Test
  void bodyOfAllBytesIsForwardedUnchanged() throws Exception {
    String body =
        IntStream.rangeClosed(0, MAX_BYTE)
            .mapToObj(value -> String.valueOf((char) value))
            .collect(Collectors.joining());
    try (FakeHttpServer upstream = FakeHttpServer.respondingWith("fine")) {
      try (TestProxy proxy = new TestProxy(TestProxy.unreachableAddress(), 1, upstream);
          TestClient client = new TestClient(proxy.address)) {
        String request =
            REQUEST.replace("Length: 4", "Length: " + body.length()).replace("\r\nbody", "\r\n");
        assertEquals(200, client.send(bytes(request + body)).readResponse().status());
        assertTrue(upstream.requests.get(0).endsWith("\n\n" + body));
      }
    }
  }
}
