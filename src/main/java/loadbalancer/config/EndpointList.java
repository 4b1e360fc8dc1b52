package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * A message of the discovery service: either the full endpoint list or the changes to it.
 * Immutable.
 *
 * @param version the version of the service's list after this message
 * @param full whether {@code endpoints} is the complete list; if not, it holds the changed entries
 * @param endpoints the entries
 * @param counts the number of entries of each status
 */
public record EndpointList(
    long version, boolean full, List<Endpoint> endpoints, EndpointCounts counts) {

  /** The field of the JSON object that holds the entries. */
  static final String ENTRIES_FIELD = "endpoints";

  private static final Map<String, EndpointStatus> STATUS_BY_NAME =
      Map.of(
          "in_service",
          EndpointStatus.READY,
          "terminating",
          EndpointStatus.DRAINING,
          "terminated",
          EndpointStatus.REMOVED);

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The parameters of the 64-bit FNV-1a hash function. */
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  private static final long FNV_PRIME = 0x100000001b3L;

  /**
   * One entry of the list.
   *
   * @param address the address at which this proxy reaches the endpoint
   * @param descriptor the properties of the endpoint that the policy uses
   */
  public record Endpoint(InetSocketAddress address, EndpointDescriptor descriptor) {

    /** Whether the endpoint must get no new requests. */
    public boolean isDraining() {
      return descriptor.status() != EndpointStatus.READY;
    }
  }

  /** Creates a list and counts its entries. */
  public EndpointList(long version, boolean full, List<Endpoint> endpoints) {
    this(version, full, endpoints, EndpointCounts.of(endpoints));
  }

  /**
   * Reads a list from the JSON that the discovery service sends.
   *
   * @throws WireFormatException if a field is missing or malformed
   */
  public static EndpointList fromJson(JsonObjectReader list) {
    return new EndpointList(
        list.integer("index"),
        list.bool("snapshot", false),
        list.objects(ENTRIES_FIELD).stream().map(EndpointList::endpoint).toList());
  }

  /**
   * Reads a list whose entries have been converted by {@link #endpoint} and counted already. No
   * pass over the entries is made, since it would hold the event loop if the list is long.
   *
   * @throws WireFormatException if a field is missing or malformed
   */
  @SuppressWarnings("unchecked")
  static EndpointList fromConvertedEntries(JsonObjectReader list, EndpointCounts counts) {
    List<Endpoint> entries = (List<Endpoint>) list.elements(ENTRIES_FIELD);
    return new EndpointList(
        list.integer("index"),
        list.bool("snapshot", false),
        Collections.unmodifiableList(entries),
        counts);
  }

  /**
   * Formats {@code version}, {@code full} and the number of entries of each status as key=value
   * pairs for a log line.
   */
  public String summary() {
    return "version=" + version + " full=" + full + " " + counts.summary();
  }

  /**
   * Reads one entry.
   *
   * @throws WireFormatException if a field is missing or malformed
   */
  static Endpoint endpoint(JsonObjectReader entry) {
    EndpointDescriptor descriptor =
        new EndpointDescriptor(
            endpointId(entry.text("name")),
            // Many entries have the same few zones and would each hold a copy of the name.
            entry.text("zone", "").intern(),
            (int) entry.integer("group", 0),
            entry.enumValue("status", STATUS_BY_NAME),
            entry.integer("since_ms", 0) * NANOS_PER_MILLI,
            entry.number("weight", 1));
    return new Endpoint(entry.address("address"), descriptor);
  }

  /**
   * Returns the id of the endpoint of this name: the 64-bit FNV-1a hash of the name. The id does
   * not depend on the proxy or the process, so all proxies build the same hash ring.
   */
  public static long endpointId(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    return hash;
  }
}
