package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * Where to watch the endpoint list and from which version on; immutable.
 *
 * @param address of the discovery service
 * @param version the last version received from there; empty requests the full list
 */
public record WatchTarget(InetSocketAddress address, OptionalLong version) {

  /** The number that stands for "no version" where a configuration has to state one. */
  private static final long UNKNOWN_VERSION = -1;

  /** A target whose list is known up to this version. */
  public static WatchTarget of(InetSocketAddress address, long version) {
    return new WatchTarget(
        address, version == UNKNOWN_VERSION ? OptionalLong.empty() : OptionalLong.of(version));
  }

  /** The same address, known up to this version. */
  WatchTarget withVersion(long newVersion) {
    return of(address, newVersion);
  }

  /** The request target of a watch, as the protocol has it. */
  String requestUri() {
    String uri = "/discovery/hosts?watch=1";
    return version.isPresent() ? uri + "&after=" + version.getAsLong() : uri;
  }

  /** The address as the Host header and the log have it. */
  String hostAndPort() {
    return address.getHostString() + ":" + address.getPort();
  }

  /** The version for the log. */
  String versionText() {
    return version.isPresent() ? Long.toString(version.getAsLong()) : "none";
  }
}
