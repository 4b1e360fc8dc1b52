package loadbalancer.scale.model;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.config.EndpointList;
import loadbalancer.config.JsonObjectReader;

/**
 * Formats the messages of discovery. A message is formatted and parsed once and shared between its
 * receivers, the most recent ones are kept.
 */
final class MessageFactory {

  /** The version of a watcher without a list, and the predecessor of a full list. */
  static final long NO_VERSION = -1;

  private static final int MAX_CACHED_CHANGES = 512;
  private static final int MAX_CACHED_FULL_LISTS = 4;

  private final ChangeLog log;
  private final Map<Range, DiscoveryMessage> changes = cache(MAX_CACHED_CHANGES);
  private final Map<Range, DiscoveryMessage> fullLists = cache(MAX_CACHED_FULL_LISTS);

  /** Creates a factory of messages about the changes of a log. */
  MessageFactory(ChangeLog log) {
    this.log = log;
  }

  private record Range(long afterVersion, long version) {}

  /** The message with the changes after one version up to another. */
  DiscoveryMessage changes(long afterVersion, long version) {
    return changes.computeIfAbsent(
        new Range(afterVersion, version),
        range -> format(range, log.changedEntries(afterVersion, version)));
  }

  /** The message with the full list at a version. */
  DiscoveryMessage fullList(long version) {
    return fullLists.computeIfAbsent(
        new Range(NO_VERSION, version), range -> format(range, log.entriesAt(version)));
  }

  private static DiscoveryMessage format(Range range, Collection<EndpointEntry> entries) {
    boolean full = range.afterVersion() == NO_VERSION;
    StringBuilder json = new StringBuilder("{\"index\":").append(range.version());
    json.append(",\"snapshot\":").append(full).append(",\"endpoints\":[");
    String separator = "";
    for (EndpointEntry entry : entries) {
      json.append(separator);
      entry.appendTo(json);
      separator = ",";
    }
    String payload = json.append("]}").toString();
    return new DiscoveryMessage(range.afterVersion(), payload, parse(payload));
  }

  /** Reads a message in the same way as a balancer. */
  static EndpointList parse(String payload) {
    try {
      return EndpointList.fromJson(JsonObjectReader.parse("list", payload));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Map<Range, DiscoveryMessage> cache(int capacity) {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<Range, DiscoveryMessage> eldest) {
        return size() > capacity;
      }
    };
  }
}
