package loadbalancer.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;

/** The text form ADDRESS:PORT of a socket address, as in the configuration and endpoint lists. */
public final class IpSocketAddress {

  private IpSocketAddress() {}

  /**
   * Reads an IP address and a port. Host names are not accepted: there is no DNS, and a look-up
   * would block the event loop.
   *
   * @return empty if the text is not of that form
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
      // Not a number, or out of range.
      return Optional.empty();
    }
  }

  /** The text of an address, for a log line. */
  public static String format(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
