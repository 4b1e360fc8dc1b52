package loadbalancer.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
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

  /** The maximum number of entries of a list, and of endpoints that a process can know. */
  public static final int MAX_ENTRIES = 1 << 16;

  /** The maximum length of a string, a field name or a number, in characters. */
  private static final int MAX_TEXT_CHARS = 1 << 10;

  /** The parser enforces the length of a number only at its end; a longer one is not awaited. */
  private static final int MAX_TOKEN_BYTES = 1 << 16;

  private static final JsonFactory JSON =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxStringLength(MAX_TEXT_CHARS)
                  .maxNameLength(MAX_TEXT_CHARS)
                  .maxNumberLength(MAX_TEXT_CHARS)
                  .build())
          .build();

  private final JsonParser parser;
  private final ByteArrayFeeder input;
  private final JsonObjectBuilder builder =
      new JsonObjectBuilder("list", EndpointList.ENTRIES_FIELD, MAX_ENTRIES, this::convertEntry);

  /** The entries of the current list so far. */
  private EndpointCounts counts = EndpointCounts.NONE;

  /** The number of bytes in the parts before the current one. */
  private long bytesBeforePart;

  /** The size of the parts since the one that completed the latest token, without blank ones. */
  private int incompleteTokenBytes;

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
   * @throws IOException if the text is not valid JSON or holds a text that is too long
   * @throws WireFormatException if a value between lists is not an object, a required field is
   *     missing or a field has the wrong type, or the list holds too many values
   */
  public void parse(byte[] part, Consumer<EndpointList> completeLists) throws IOException {
    if (!hasPartialList() && !hasObjectStart(part, 0)) {
      return;
    }
    input.feedInput(part, 0, part.length);
    JsonToken token = parser.nextToken();
    checkTokenLength(part, token == JsonToken.NOT_AVAILABLE);
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

  private void checkTokenLength(byte[] part, boolean completesNoToken) {
    if (!completesNoToken) {
      incompleteTokenBytes = 0;
      return;
    }
    for (byte character : part) {
      if (!Character.isWhitespace(character & 0xff)) {
        incompleteTokenBytes += part.length;
        break;
      }
    }
    if (incompleteTokenBytes > MAX_TOKEN_BYTES) {
      throw new WireFormatException("field list: expected a shorter text or number");
    }
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
