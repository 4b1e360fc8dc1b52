package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.proxy.http.BoundedKey;
import loadbalancer.proxy.http.ClientRequest;
import org.junit.jupiter.api.Test;

class ClientRequestParserTest {

  private static ClientRequest parse(String sessionKey) throws Exception {
    String settings =
        "{\"categories\":[{\"name\":\"look\",\"effect\":\"idempotent\",\"aim-ns\":1000}]}";
    ClientRequestParser parser =
        new ClientRequestParser(
            PolicySettingsReader.read(JsonObjectReader.parse("settings", settings)));
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/look");
    head.headers()
        .set("X-Correlation-Id", "1")
        .set("X-Service-Class", "look")
        .set("X-Time-Left-Ms", "100")
        .set("X-Account", "any name")
        .set("X-Session-Key", sessionKey);
    return parser.parse(head, new byte[0], 0);
  }

  /** Guards against long keys, thousands of which would fill the heap as the policy keeps them. */
  @Test
  void longAffinityKeyIsReplacedByItsDigest() throws Exception {
    String longKey = "k".repeat(8_000);
    assertEquals(BoundedKey.MAX_CHARS, parse(longKey).affinityKey().length());
    assertEquals(parse(longKey).affinityKey(), parse(longKey).affinityKey());
    String shortKey = "k".repeat(BoundedKey.MAX_CHARS);
    assertEquals(shortKey, parse(shortKey).affinityKey());
  }

  /** Guards against statistics for any tenant name that a client invents. */
  @Test
  void tenantIsIgnoredIfTheSettingsDefineNone() throws Exception {
    assertNull(parse("k").tenant());
  }
}
