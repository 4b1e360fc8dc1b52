package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * The discovery service to watch and the version to continue from; immutable.
 *
 * @param address the address of the discovery service
 * @param version the last version received from it; empty to request the full list
 */
public record WatchTarget(InetSocketAddress address, OptionalLong version) {

  /** The number by which a configuration states that no version is known. */
  private static final long UNKNOWN_VERSION = -1;

  /** Creates a target; a version of -1 means that none is known. */
  public static WatchTarget of(InetSocketAddress address, long version) {
    return new WatchTarget(
        address, version == UNKNOWN_VERSION ? OptionalLong.empty() : OptionalLong.of(version));
  }

  /** Returns a target with the same address and this version, with -1 for none. */
  WatchTarget withVersion(long newVersion) {
    return of(address, newVersion);
  }

  /** Returns the request target of a watch: path and query. */
  String requestUri() {
    String uri = "/discovery/hosts?watch=1";
    return version.isPresent() ? uri + "&after=" + version.getAsLong() : uri;
  }

  /** Formats the address for the Host header and the log. */
  String hostAndPort() {
    return address.getHostString() + ":" + address.getPort();
  }

  /** Formats the version for the log; "none" if it is empty. */
  String versionText() {
    return version.isPresent() ? Long.toString(version.getAsLong()) : "none";
  }
}
