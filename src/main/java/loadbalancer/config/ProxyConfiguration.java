package loadbalancer.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.settings.PolicySettings;

/**
 * What the platform configures a proxy with; immutable.
 *
 * @param name of the proxy, the same after a restart
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery service
 * @param seed of the policy's random numbers
 * @param sockets how many file descriptors the process may hold
 * @param known the endpoint list as the proxy last had it; it may be old
 * @param settings of the policy
 */
public record ProxyConfiguration(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    EndpointList known,
    PolicySettings settings) {

  /** The variable that names the configuration file. */
  public static final String FILE_VARIABLE = "PROXY_CONFIG";

  private static final int DEFAULT_SOCKETS = 1024;
  private static final int SEED_RADIX = 16;

  /**
   * Reads the file that {@link #FILE_VARIABLE} names; the variables PROXY_NAME, PROXY_LISTEN and
   * PROXY_DISCOVERY, where set, override its fields.
   *
   * @throws IOException if the file cannot be read or is not JSON
   * @throws WireFormatException if a field is missing or of the wrong type
   * @throws ConfigurationException if a value is not usable
   * @throws IllegalArgumentException if the settings of the policy make no sense
   */
  public static ProxyConfiguration read(Map<String, String> environment) throws IOException {
    String file = environment.get(FILE_VARIABLE);
    if (file == null) {
      throw new ConfigurationException(FILE_VARIABLE, "the path of a file", "nothing");
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
   * Reads the file again for a reload. The file alone counts: the other variables are as old as the
   * process.
   *
   * @throws IOException as {@link #read}, which also says what else is thrown
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
      throw new ConfigurationException("seed", "hex digits", quoted(text));
    }
  }

  private static int sockets(long limit) {
    if (limit <= 0 || limit > Integer.MAX_VALUE) {
      throw new ConfigurationException("limits.sockets", "a count above 0", Long.toString(limit));
    }
    return (int) limit;
  }

  /** The list, or the empty one of version 0 where the configuration has none. */
  private static EndpointList knownEndpoints(JsonObjectReader known) {
    return known.has("endpoints")
        ? EndpointList.fromJson(known)
        : new EndpointList(0, true, List.of());
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }
}
