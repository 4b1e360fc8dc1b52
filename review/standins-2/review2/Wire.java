package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads HTTP messages with a Content-Length or none. */
final class Wire {

  /** Called before each read. */
  interface BeforeRead {
    void run() throws IOException;
  }

  private Wire() {}

  /** Reads up to the empty line; null if the stream ended before the first byte or inside. */
  static String readHead(InputStream input, BeforeRead before) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      before.run();
      int next = input.read();
      if (next < 0) {
        return null;
      }
      head.write(next);
      if (next == "\r\n\r\n".charAt(matched)) {
        matched++;
      } else {
        matched = next == '\r' ? 1 : 0;
      }
    }
    return head.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads this many bytes; null if the stream ended before. */
  static byte[] readBytes(InputStream input, int length, BeforeRead before) throws IOException {
    byte[] bytes = new byte[length];
    int size = 0;
    while (size < length) {
      before.run();
      int read = input.read(bytes, size, length - size);
      if (read < 0) {
        return null;
      }
      size += read;
    }
    return bytes;
  }

  /** The value of a header of a head, or the default. */
  static String header(String head, String name, String defaultValue) {
    for (String line : head.split("\r\n")) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).toLowerCase(Locale.ROOT).equals(name)) {
        return line.substring(colon + 1).trim();
      }
    }
    return defaultValue;
  }
}
