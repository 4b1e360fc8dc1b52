package loadbalancer.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.settings.PolicySettings;

/**
 * The configuration of a proxy process; immutable.
 *
 * @param name the proxy's name, which stays the same across restarts
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery service
 * @param seed the seed of the policy's random number generator
 * @param sockets the maximum number of file descriptors that the process may hold
 * @param known the last endpoint list that the proxy had; it may be stale
 * @param settings the settings of the policy
 */
public record ProxyConfiguration(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    EndpointList known,
    PolicySettings settings) {

  /** The environment variable that holds the path of the configuration file. */
  public static final String FILE_VARIABLE = "PROXY_CONFIG";

  private static final int DEFAULT_SOCKETS = 1024;
  private static final int SEED_RADIX = 16;

  /**
   * Reads the file that {@link #FILE_VARIABLE} names. The environment variables PROXY_NAME,
   * PROXY_LISTEN and PROXY_DISCOVERY override fields of the file unless they are unset or empty.
   *
   * @throws IOException if the file cannot be read or is not valid JSON
   * @throws WireFormatException if a required field is missing or a field has the wrong type
   * @throws ConfigurationException if {@link #FILE_VARIABLE} is unset, or an address, the seed or
   *     limits.sockets is invalid
   * @throws IllegalArgumentException if a setting of the policy is out of range
   */
  public static ProxyConfiguration read(Map<String, String> environment) throws IOException {
    String file = environment.get(FILE_VARIABLE);
    if (file == null) {
      throw new ConfigurationException(
          FILE_VARIABLE, "the path of the configuration file", "nothing");
    }
    JsonObjectReader fields =
        JsonObjectReader.parse("configuration", Files.readString(Path.of(file)));
    return new ProxyConfiguration(
        overridable(environment, "PROXY_NAME", fields, "name"),
        address("listen", overridable(environment, "PROXY_LISTEN", fields, "listen")),
        address("discovery", overridable(environment, "PROXY_DISCOVERY", fields, "discovery")),
        seed(fields.text("seed")),
        sockets(fields.nested("limits").integer("sockets", DEFAULT_SOCKETS)),
        knownEndpoints(fields.nested("known")),
        PolicySettingsReader.read(fields.nested("settings")));
  }

  /**
   * Reads the file again for a reload. Environment variables do not override its fields: they have
   * not changed since the process started.
   *
   * @throws IOException as {@link #read}, which lists the other exceptions too
   */
  public static ProxyConfiguration readFileOnly(Map<String, String> environment)
      throws IOException {
    return read(Map.of(FILE_VARIABLE, environment.getOrDefault(FILE_VARIABLE, "")));
  }

  private static String overridable(
      Map<String, String> environment, String variable, JsonObjectReader fields, String name) {
    String value = environment.get(variable);
    return value == null || value.isEmpty() ? fields.text(name) : value;
  }

  private static InetSocketAddress address(String field, String text) {
    return IpSocketAddress.parse(text)
        .orElseThrow(() -> new ConfigurationException(field, "ADDRESS:PORT", quoted(text)));
  }

  private static long seed(String text) {
    try {
      return Long.parseUnsignedLong(text, SEED_RADIX);
    } catch (NumberFormatException notHexadecimal) {
      throw new ConfigurationException("seed", "a 64-bit hexadecimal number", quoted(text));
    }
  }

  private static int sockets(long limit) {
    if (limit <= 0 || limit > Integer.MAX_VALUE) {
      throw new ConfigurationException(
          "limits.sockets", "a number from 1 to " + Integer.MAX_VALUE, Long.toString(limit));
    }
    return (int) limit;
  }

  /** Reads the list, or returns an empty one of version 0 if the configuration has none. */
  private static EndpointList knownEndpoints(JsonObjectReader known) {
    return known.has("endpoints")
        ? EndpointList.fromJson(known)
        : new EndpointList(0, true, List.of());
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }
}
