package loadbalancer.proxy.discovery;

import java.io.OutputStream;
import loadbalancer.proxy.FakeHttpServer;

/** Response heads, chunks and endpoint lists of a fake discovery service. */
final class FakeDiscovery {

  /** The head of a successful, chunked response to a watch. */
  static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private FakeDiscovery() {}

  /** Writes one chunk of a response body; the text must be ASCII. */
  static void writeChunk(OutputStream output, String text) throws Exception {
    FakeHttpServer.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** Returns an endpoint list as one line of JSON, including the line end. */
  static String listJson(long version, boolean full, String... endpoints) {
    return "{\"index\":"
        + version
        + ",\"snapshot\":"
        + full
        + ",\"endpoints\":["
        + String.join(",", endpoints)
        + "]}\n";
  }
}
