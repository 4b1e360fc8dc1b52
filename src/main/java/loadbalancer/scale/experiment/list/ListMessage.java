package loadbalancer.scale.experiment.list;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A message of the discovery service.
 *
 * @param index the version of the list after this message
 * @param snapshot whether the message has the full list; if not, it has the changed entries only
 * @param endpoints the entries
 */
record ListMessage(long index, boolean snapshot, List<Entry> endpoints) {

  private static final ObjectWriter JSON =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .build()
          .writer();

  /** The status of an endpoint in service. */
  static final String IN_SERVICE = "in_service";

  /** The status of an endpoint that accepts no new requests. */
  static final String TERMINATING = "terminating";

  /** The status of an endpoint that has left the list. */
  static final String TERMINATED = "terminated";

  /** The line break after each message. */
  private static final int LINE_BREAK_BYTES = 1;

  /**
   * One entry of the list.
   *
   * @param name the name of the endpoint, which stays the same across restarts
   * @param address the address and port
   * @param zone the availability zone
   * @param type the machine type
   * @param group the deduplication cell
   * @param status one of the statuses of this class
   * @param weight the relative size of the endpoint
   * @param sinceMs when the endpoint last started, in milliseconds; 0 if long ago
   */
  record Entry(
      String name,
      String address,
      String zone,
      String type,
      int group,
      String status,
      double weight,
      long sinceMs) {

    /** The same endpoint with another status. */
    Entry withStatus(String newStatus) {
      return new Entry(name, address, zone, type, group, newStatus, weight, sinceMs);
    }

    /** The same endpoint in service after a restart. */
    Entry restarted(long newSinceMs) {
      return new Entry(name, address, zone, type, group, IN_SERVICE, weight, newSinceMs);
    }
  }

  /** The message as one line of JSON, without the line break. */
  String toJson() {
    try {
      return JSON.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The number of bytes that discovery sends for this message. */
  static int wireBytes(String json) {
    return json.getBytes(StandardCharsets.UTF_8).length + LINE_BREAK_BYTES;
  }
}
