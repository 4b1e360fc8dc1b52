import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from one connection. */
final class HttpStream {

  /** A complete message. Header names are in lower case. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    boolean closes() {
      return "close".equalsIgnoreCase(headers.getOrDefault("connection", ""));
    }
  }

  private final InputStream in;

  HttpStream(InputStream in) {
    this.in = new BufferedInputStream(in);
  }

  /** Waits for the first byte of the next message; false at the end of the stream. */
  boolean awaitMessage() throws IOException {
    in.mark(1);
    int first = in.read();
    in.reset();
    return first >= 0;
  }

  /** Reads one message; null if the stream ends before its first byte. */
  Message read() throws IOException {
    String startLine = line();
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = needLine(); !header.isEmpty(); header = needLine()) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body ended after " + body.length + " of " + length + " bytes");
    }
    return new Message(startLine, headers, body);
  }

  private String needLine() throws IOException {
    String line = line();
    if (line == null) {
      throw new EOFException("message ended in its head");
    }
    return line;
  }

  private String line() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("message ended in a line");
      }
      bytes.write(b);
    }
    String line = bytes.toString(StandardCharsets.ISO_8859_1);
    return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
  }
}
