package loadbalancer.proxy.discovery;

import java.io.OutputStream;
import loadbalancer.proxy.FakeHttpServer;

/** What a fake discovery service writes: the head of a watch's response, chunks and lists. */
final class FakeDiscovery {

  /** The head of a response that a watch follows. */
  static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private FakeDiscovery() {}

  /** Writes one chunk of a body. */
  static void writeChunk(OutputStream output, String text) throws Exception {
    FakeHttpServer.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** An endpoint list on one line, with its line end. */
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
