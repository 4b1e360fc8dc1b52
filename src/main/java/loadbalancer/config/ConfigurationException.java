package loadbalancer.config;

/**
 * Thrown for a configuration value that the proxy cannot use. The message names the field, what it
 * must hold and what it holds.
 */
public final class ConfigurationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Builds the message {@code FIELD: expected EXPECTED, got GOT}.
   *
   * @param field the path of the field in the file, or the name of the environment variable
   * @param expected a description of the allowed values
   * @param got the value found
   */
  public ConfigurationException(String field, String expected, String got) {
    super(field + ": expected " + expected + ", got " + got);
  }
}
