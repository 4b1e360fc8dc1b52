package loadbalancer.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * Builds one JSON object after the other from the tokens of a parser, which need not be available
 * at the same time. Elements of one array of the outermost object are converted as soon as they are
 * complete, so that their fields do not have to be kept. Not thread-safe.
 */
final class JsonObjectBuilder {

  /** An object or array that has been started; an object has fields, an array has elements. */
  private static final class Container {
    final Map<String, Object> fields;
    final List<Object> elements;

    /** The name of the latest field of an object. */
    String name;

    Container(JsonToken start) {
      fields = start == JsonToken.START_OBJECT ? new LinkedHashMap<>() : null;
      elements = start == JsonToken.START_OBJECT ? null : new ArrayList<>();
    }

    void add(Object value) {
      if (fields == null) {
        elements.add(value);
      } else {
        fields.put(name, value);
      }
    }

    Object value() {
      return fields == null ? elements : fields;
    }

    int size() {
      return fields == null ? elements.size() : fields.size();
    }
  }

  /**
   * The maximum number of values in one container, and of containers in each other. A value of a
   * few bytes can take a hundred in the heap, so that limits on the text alone are not enough.
   */
  private static final int MAX_VALUES = 64;

  private static final int MAX_DEPTH = 8;

  /** The number of open containers while an element of the converted array ends. */
  private static final int ELEMENT_DEPTH = 2;

  private final String path;
  private final String convertedArray;
  private final int maxElements;
  private final BiFunction<String, Object, Object> elementConverter;

  /** The containers that have not ended, the innermost first. */
  private final Deque<Container> openContainers = new ArrayDeque<>();

  /**
   * Creates a builder.
   *
   * @param path the name of the outermost objects in error messages
   * @param convertedArray the field of an outermost object whose elements are converted if the
   *     field is an array
   * @param maxElements the maximum number of these elements
   * @param elementConverter returns the converted element for its path and its value
   */
  JsonObjectBuilder(
      String path,
      String convertedArray,
      int maxElements,
      BiFunction<String, Object, Object> elementConverter) {
    this.path = path;
    this.convertedArray = convertedArray;
    this.maxElements = maxElements;
    this.elementConverter = elementConverter;
  }

  /** Whether an outermost object has been started and has not ended. */
  boolean hasPartialObject() {
    return !openContainers.isEmpty();
  }

  /**
   * Adds the parser's current token.
   *
   * @return the outermost object if the token ends it, otherwise null
   * @throws WireFormatException if an outermost value is not an object, an integer does not fit in
   *     64 bits, or the object holds too many values
   */
  JsonObjectReader add(JsonParser parser) throws IOException {
    JsonToken token = parser.currentToken();
    if (openContainers.isEmpty() && token != JsonToken.START_OBJECT) {
      throw new WireFormatException("field " + path + ": expected an object, got " + token);
    }
    switch (token) {
      case START_OBJECT, START_ARRAY -> {
        checkLimit("nested values", openContainers.size(), MAX_DEPTH);
        openContainers.push(new Container(token));
      }
      case FIELD_NAME -> openContainers.element().name = parser.currentName();
      case END_OBJECT, END_ARRAY -> {
        return endContainer();
      }
      default -> addValue(JsonObjectReader.readScalar(parser));
    }
    return null;
  }

  private JsonObjectReader endContainer() {
    Object value = openContainers.pop().value();
    if (openContainers.isEmpty()) {
      return JsonObjectReader.asObject(path, value);
    }
    addValue(value);
    return null;
  }

  private void addValue(Object value) {
    Container parent = openContainers.element();
    if (isConvertedArray(parent)) {
      checkLimit(convertedArray, parent.size(), maxElements);
      String elementPath = path + "." + convertedArray + "[" + parent.elements.size() + "]";
      parent.add(elementConverter.apply(elementPath, value));
    } else {
      checkLimit("values in one object or array", parent.size(), MAX_VALUES);
      parent.add(value);
    }
  }

  private void checkLimit(String what, int size, int maxSize) {
    if (size >= maxSize) {
      throw new WireFormatException(
          "field " + path + ": must have at most " + maxSize + " " + what);
    }
  }

  private boolean isConvertedArray(Container container) {
    return container.elements != null
        && openContainers.size() == ELEMENT_DEPTH
        && convertedArray.equals(openContainers.getLast().name);
  }
}
