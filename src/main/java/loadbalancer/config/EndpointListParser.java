package loadbalancer.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;

/**
 * Parses a stream of endpoint lists in JSON while it arrives. The text is not kept: each entry is
 * converted when its last byte arrives, so the work of a long list is spread over the parts in
 * which it is received. A list is passed on only when it is complete and valid. Not thread-safe.
 */
public final class EndpointListParser implements AutoCloseable {

  private static final JsonFactory JSON = new JsonFactory();

  private final JsonParser parser;
  private final ByteArrayFeeder input;
  private final JsonObjectBuilder builder =
      new JsonObjectBuilder("list", EndpointList.ENTRIES_FIELD, this::convertEntry);

  /** The entries of the current list so far. */
  private EndpointCounts counts = EndpointCounts.NONE;

  /** The number of bytes in the parts before the current one. */
  private long bytesBeforePart;

  /** Creates a parser at the start of a stream. */
  public EndpointListParser() {
    try {
      parser = JSON.createNonBlockingByteArrayParser();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    input = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
  }

  /**
   * Parses the next part of the stream. After an exception the parser must not be used again.
   *
   * @param part the bytes, in UTF-8; the boundaries of parts do not matter
   * @param completeLists receives each list that the part completes
   * @throws IOException if the text is not valid JSON
   * @throws WireFormatException if a value between lists is not an object, a required field is
   *     missing or a field has the wrong type
   */
  public void parse(byte[] part, Consumer<EndpointList> completeLists) throws IOException {
    if (!hasPartialList() && !hasObjectStart(part, 0)) {
      return;
    }
    input.feedInput(part, 0, part.length);
    JsonToken token = parser.nextToken();
    while (token != JsonToken.NOT_AVAILABLE) {
      JsonObjectReader list = builder.add(parser);
      if (list != null) {
        completeLists.accept(EndpointList.fromConvertedEntries(list, counts));
        counts = EndpointCounts.NONE;
        hasObjectStart(part, (int) (parser.currentLocation().getByteOffset() - bytesBeforePart));
      }
      token = parser.nextToken();
    }
    bytesBeforePart += part.length;
  }

  private EndpointList.Endpoint convertEntry(String path, Object value) {
    EndpointList.Endpoint entry = EndpointList.endpoint(JsonObjectReader.asObject(path, value));
    counts = counts.plus(entry.descriptor().status());
    return entry;
  }

  /** Whether a list has started arriving and is not complete yet. */
  public boolean hasPartialList() {
    return builder.hasPartialObject();
  }

  /**
   * Returns whether the next list starts in this part, at or after the offset.
   *
   * @throws WireFormatException if anything but white space comes before it; the JSON parser would
   *     wait for the rest of a value that may never come
   */
  private static boolean hasObjectStart(byte[] part, int fromOffset) {
    for (int offset = fromOffset; offset < part.length; offset++) {
      if (part[offset] == '{') {
        return true;
      }
      if (!Character.isWhitespace(part[offset] & 0xff)) {
        throw new WireFormatException("field list: expected an object");
      }
    }
    return false;
  }

  /** Releases the parser's buffers. */
  @Override
  public void close() throws IOException {
    parser.close();
  }
}
