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
 * Reads the fields of a JSON object with type checks. A getter throws a {@link WireFormatException}
 * that names the field by its path if a required field is missing or a field has the wrong type. A
 * field that is null counts as missing.
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
   * Parses a text that consists of exactly one JSON object.
   *
   * @param path the name of the object, used as the root of field paths in error messages
   * @throws IOException if the text is not valid JSON
   * @throws WireFormatException if the text is empty, holds more than one value or a value that is
   *     not an object, or holds an integer that does not fit in 64 bits
   */
  public static JsonObjectReader parse(String path, String text) throws IOException {
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() == null) {
        throw unexpected(path, "one JSON object", null);
      }
      Object value = readValue(parser);
      if (parser.nextToken() != null) {
        throw new WireFormatException(
            "field " + path + ": expected one JSON object, got more than one value");
      }
      return asObject(path, value);
    }
  }

  /** Reads the value that starts at the parser's current token. */
  private static Object readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      default -> readScalar(parser);
    };
  }

  /** Reads the parser's current token, which is not the start of an object or an array. */
  static Object readScalar(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
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
      throw new WireFormatException("expected a 64-bit integer, got " + parser.getText());
    }
    return parser.getLongValue();
  }

  /** Wraps a value as an object. All maps are fields of JSON objects, so keys are strings. */
  @SuppressWarnings("unchecked")
  static JsonObjectReader asObject(String path, Object value) {
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

  /** Returns the names of all fields, null ones included, in the order of the JSON text. */
  public Set<String> fieldNames() {
    return Collections.unmodifiableSet(values.keySet());
  }

  /** Returns the path of this object as used in error messages. */
  public String path() {
    return path;
  }

  /** Returns whether the field is present and not null. */
  public boolean has(String name) {
    return values.get(name) != null;
  }

  /** Returns a required integer. */
  public long integer(String name) {
    if (values.get(name) instanceof Long number) {
      return number;
    }
    throw unexpected(name, "an integer");
  }

  /** Returns an integer, or the default if the field is missing. */
  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  /** Returns a number, or the default if the field is missing. */
  public double number(String name, double defaultValue) {
    if (!has(name)) {
      return defaultValue;
    }
    if (values.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw unexpected(name, "a number");
  }

  /** Returns a required boolean. */
  public boolean bool(String name) {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw unexpected(name, "true or false");
  }

  /** Returns a boolean, or the default if the field is missing. */
  public boolean bool(String name, boolean defaultValue) {
    return has(name) ? bool(name) : defaultValue;
  }

  /** Returns a required string. */
  public String text(String name) {
    if (values.get(name) instanceof String text) {
      return text;
    }
    throw unexpected(name, "a string");
  }

  /** Returns a string, or the default if the field is missing. */
  public String text(String name, String defaultValue) {
    return has(name) ? text(name) : defaultValue;
  }

  /** Returns a required IP address and port, which the field holds as one string. */
  public InetSocketAddress address(String name) {
    return IpSocketAddress.parse(text(name)).orElseThrow(() -> unexpected(name, "ADDRESS:PORT"));
  }

  /** Returns a required nested object. */
  public JsonObjectReader object(String name) {
    return asObject(path + "." + name, values.get(name));
  }

  /** Returns a nested object, or an empty object if the field is missing. */
  public JsonObjectReader nested(String name) {
    return has(name) ? object(name) : new JsonObjectReader(path + "." + name, Map.of());
  }

  /** Returns whether the field holds the integer 0. */
  public boolean isZero(String name) {
    return values.get(name) instanceof Long number && number == 0;
  }

  /** Returns the elements of a required array. */
  List<?> elements(String name) {
    if (values.get(name) instanceof List<?> list) {
      return list;
    }
    throw unexpected(name, "an array");
  }

  /** Returns the elements of a required array of objects. */
  public List<JsonObjectReader> objects(String name) {
    List<?> list = elements(name);
    List<JsonObjectReader> objects = new ArrayList<>(list.size());
    for (int i = 0; i < list.size(); i++) {
      objects.add(asObject(path + "." + name + "[" + i + "]", list.get(i)));
    }
    return objects;
  }

  /**
   * Returns the value that a required string stands for.
   *
   * @param valuesByName the allowed strings and their values
   */
  public <T> T enumValue(String name, Map<String, T> valuesByName) {
    T value = valuesByName.get(text(name));
    if (value == null) {
      throw unexpected(name, "one of " + new TreeSet<>(valuesByName.keySet()));
    }
    return value;
  }

  /** Returns the value that a string stands for, or the default if the field is missing. */
  <T> T enumValue(String name, Map<String, T> valuesByName, T defaultValue) {
    return has(name) ? enumValue(name, valuesByName) : defaultValue;
  }

  /**
   * Returns the numeric fields of a nested object by name, skipping fields of other types. Returns
   * an empty map if the object is missing.
   */
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
