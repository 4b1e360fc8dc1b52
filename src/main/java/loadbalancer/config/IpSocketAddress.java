package loadbalancer.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Parses and formats socket addresses as {@code ADDRESS:PORT}, the form that the configuration,
 * endpoint lists and log lines use.
 */
public final class IpSocketAddress {

  private IpSocketAddress() {}

  /**
   * Parses an IP address and a port. Host names are not accepted: there is no DNS, and a lookup
   * would block the event loop.
   *
   * @return the address, or empty if the text is malformed or the port is out of range
   */
  public static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
    if (address == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new InetSocketAddress(address, Integer.parseInt(text.substring(colon + 1))));
    } catch (IllegalArgumentException invalidPort) {
      // The port is not a number or not from 0 to 65535.
      return Optional.empty();
    }
  }

  /** Formats an address for a log line. */
  public static String format(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
