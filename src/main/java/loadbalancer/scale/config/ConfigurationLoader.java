package loadbalancer.scale.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the configuration file of a scale run. Every setting that is not optional must be present,
 * and no other may be.
 */
public final class ConfigurationLoader {

  /** The start of Jackson's message for a number that is missing. */
  private static final String MISSING_PRIMITIVE = "Cannot map `null` into type";

  private static final ObjectReader READER =
      TomlMapper.builder()
          .addModule(new Jdk8Module())
          .propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .build()
          .readerFor(ScaleConfiguration.class);

  private ConfigurationLoader() {}

  /**
   * Reads a file.
   *
   * @throws ConfigurationFileException if the file is malformed or has a wrong or unknown setting
   * @throws IOException if the file cannot be read
   */
  public static ScaleConfiguration load(Path file) throws IOException, ConfigurationFileException {
    String text = Files.readString(file);
    try {
      return READER.readValue(text);
    } catch (JacksonException e) {
      throw new ConfigurationFileException(file + place(e) + ": " + describe(e), e);
    }
  }

  /** Returns line and column, which are known for malformed text only. */
  private static String place(JacksonException exception) {
    JsonLocation location = exception.getLocation();
    if (location == null || location.getLineNr() < 1) {
      return "";
    }
    return ":" + location.getLineNr() + ":" + location.getColumnNr();
  }

  private static String describe(JacksonException exception) {
    if (!(exception instanceof JsonMappingException mapping)) {
      return exception.getOriginalMessage();
    }
    String path = path(mapping);
    if (mapping instanceof UnrecognizedPropertyException unknown) {
      return path + ": unknown setting, expected one of " + unknown.getKnownPropertyIds();
    }
    if (mapping instanceof ValueInstantiationException && mapping.getCause() != null) {
      String prefix = path.isEmpty() ? "" : path + ".";
      return prefix + mapping.getCause().getMessage();
    }
    if (mapping.getOriginalMessage().startsWith(MISSING_PRIMITIVE)) {
      return path + ": expected a value, got nothing";
    }
    return path + ": " + mapping.getOriginalMessage();
  }

  private static String path(JsonMappingException exception) {
    StringBuilder path = new StringBuilder();
    for (JsonMappingException.Reference reference : exception.getPath()) {
      if (reference.getFieldName() == null) {
        path.append('[').append(reference.getIndex()).append(']');
      } else {
        path.append(path.isEmpty() ? "" : ".").append(reference.getFieldName());
      }
    }
    return path.toString();
  }
}
