package loadbalancer.scale.config;

/** Thrown for a configuration file that is malformed or has a wrong or unknown setting. */
public final class ConfigurationFileException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message names the file, the place in it if known, and the field if there is one
   * @param cause the failure of the reader
   */
  ConfigurationFileException(String message, Throwable cause) {
    super(message, cause);
  }
}
