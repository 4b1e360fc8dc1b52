package loadbalancer.config;

/** A configuration that a proxy cannot run with; the message says field, expected and got. */
public final class ConfigurationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /**
   * Names the field at fault.
   *
   * @param field the path of the field in the file, or the name of the variable
   * @param expected what it has to hold
   * @param got what it holds
   */
  public ConfigurationException(String field, String expected, String got) {
    super(field + ": expected " + expected + ", got " + got);
  }
}
