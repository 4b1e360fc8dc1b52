package loadbalancer.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A JSON object with checked access to its fields. A field that is missing, though required, or of
 * the wrong type is a {@link WireFormatException} that names it by its path; a field that holds
 * null counts as absent.
 */
public final class JsonObjectReader {

  private static final JsonFactory JSON = new JsonFactory();

  private final String path;
  private final Map<String, Object> values;

  private JsonObjectReader(String path, Map<String, Object> values) {
    this.path = path;
    this.values = values;
  }

  /**
   * Reads a text that holds one JSON object and nothing else.
   *
   * @param path the name of the object in messages
   * @throws IOException if the text is not JSON
   * @throws WireFormatException if it is empty, no object, or holds more than one value
   */
  public static JsonObjectReader parse(String path, String text) throws IOException {
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() == null) {
        throw new WireFormatException("expected a " + path + ", got an empty line");
      }
      Object value = readValue(parser);
      if (parser.nextToken() != null) {
        throw new WireFormatException("expected one value a line, got more");
      }
      return asObject(path, value);
    }
  }

  /** Reads the value that starts at the parser's current token. */
  private static Object readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE, VALUE_FALSE -> parser.getBooleanValue();
      default -> null;
    };
  }

  private static Map<String, Object> readObject(JsonParser parser) throws IOException {
    Map<String, Object> object = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.put(name, readValue(parser));
    }
    return object;
  }

  private static List<Object> readArray(JsonParser parser) throws IOException {
    List<Object> array = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser));
    }
    return array;
  }

  private static Long readInteger(JsonParser parser) throws IOException {
    if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      throw new WireFormatException("number " + parser.getText() + " does not fit 64 bits");
    }
    return parser.getLongValue();
  }

  /** The value as an object: {@link #readObject} makes all maps, so their keys are names. */
  @SuppressWarnings("unchecked")
  private static JsonObjectReader asObject(String path, Object value) {
    if (value instanceof Map<?, ?> map) {
      return new JsonObjectReader(path, (Map<String, Object>) map);
    }
    throw unexpected(path, "an object", value);
  }

  private static WireFormatException unexpected(String path, String expected, Object value) {
    return new WireFormatException(
        "field " + path + ": expected " + expected + ", got " + describe(value));
  }

  private static String describe(Object value) {
    if (value == null) {
      return "nothing";
    }
    return value instanceof String ? "\"" + value + "\"" : value.toString();
  }

  private WireFormatException unexpected(String name, String expected) {
    return unexpected(path + "." + name, expected, values.get(name));
  }

  /** The names of all fields, in their order. */
  public Set<String> fieldNames() {
    return Collections.unmodifiableSet(values.keySet());
  }

  /** The path of this object in messages. */
  public String path() {
    return path;
  }

  /** Whether the field is there. */
  public boolean has(String name) {
    return values.get(name) != null;
  }

  /** A required whole number. */
  public long integer(String name) {
    if (values.get(name) instanceof Long number) {
      return number;
    }
    throw unexpected(name, "a whole number");
  }

  /** A whole number, or {@code absent} if it is not there. */
  public long integer(String name, long absent) {
    return has(name) ? integer(name) : absent;
  }

  /** A number, or {@code absent} if it is not there. */
  public double number(String name, double absent) {
    if (!has(name)) {
      return absent;
    }
    if (values.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw unexpected(name, "a number");
  }

  /** A required truth value. */
  public boolean bool(String name) {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw unexpected(name, "true or false");
  }

  /** A truth value, or {@code absent} if it is not there. */
  public boolean bool(String name, boolean absent) {
    return has(name) ? bool(name) : absent;
  }

  /** A required text. */
  public String text(String name) {
    if (values.get(name) instanceof String text) {
      return text;
    }
    throw unexpected(name, "a text");
  }

  /** A text, or {@code absent} if it is not there. */
  public String text(String name, String absent) {
    return has(name) ? text(name) : absent;
  }

  /** A required IP address and port. */
  public InetSocketAddress address(String name) {
    return IpSocketAddress.parse(text(name)).orElseThrow(() -> unexpected(name, "ADDRESS:PORT"));
  }

  /** A required nested object. */
  public JsonObjectReader object(String name) {
    return asObject(path + "." + name, values.get(name));
  }

  /** A nested object, or an empty one if it is not there. */
  public JsonObjectReader nested(String name) {
    return has(name) ? object(name) : new JsonObjectReader(path + "." + name, Map.of());
  }

  /** Whether the field holds the whole number 0. */
  public boolean isZero(String name) {
    return values.get(name) instanceof Long number && number == 0;
  }

  /** A required array of objects. */
  public List<JsonObjectReader> objects(String name) {
    if (!(values.get(name) instanceof List<?> list)) {
      throw unexpected(name, "an array");
    }
    List<JsonObjectReader> objects = new ArrayList<>(list.size());
    for (int i = 0; i < list.size(); i++) {
      objects.add(asObject(path + "." + name + "[" + i + "]", list.get(i)));
    }
    return objects;
  }

  /** A required text that is one of the table's keys; returns the table's value for it. */
  public <T> T word(String name, Map<String, T> words) {
    T value = words.get(text(name));
    if (value == null) {
      throw unexpected(name, "one of " + new TreeSet<>(words.keySet()));
    }
    return value;
  }

  /** A text that is one of the table's keys, or {@code absent} if it is not there. */
  <T> T word(String name, Map<String, T> words, T absent) {
    return has(name) ? word(name, words) : absent;
  }

  /** The numbers of a nested object by name; other values are skipped, absent is empty. */
  public Map<String, Double> numbers(String name) {
    if (!has(name)) {
      return Map.of();
    }
    Map<String, Double> numbers = new LinkedHashMap<>();
    for (Map.Entry<String, Object> entry : object(name).values.entrySet()) {
      if (entry.getValue() instanceof Number number) {
        numbers.put(entry.getKey(), number.doubleValue());
      }
    }
    return numbers;
  }
}
