package loadbalancer.scale.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.scale.config.EventKind;

/**
 * All committed changes of the list in order. Version 0 is the list at the start, with all entries
 * in service; each change adds one version.
 */
final class ChangeLog {

  private final int listEntries;
  private final List<EndpointChange> changes = new ArrayList<>();

  /** Creates a log without changes. */
  ChangeLog(int listEntries) {
    this.listEntries = listEntries;
  }

  /** Appends a change of an entry. */
  void append(EndpointEntry entry, long enteredNanos, EventKind kind) {
    changes.add(new EndpointChange(lastVersion() + 1, entry, enteredNanos, kind));
  }

  /** The version after the last change. */
  long lastVersion() {
    return changes.size();
  }

  /** The change that led to a version. */
  EndpointChange change(long version) {
    return changes.get((int) version - 1);
  }

  /** The last states of the entries that changed after one version and up to another. */
  Collection<EndpointEntry> changedEntries(long afterVersion, long version) {
    Map<Integer, EndpointEntry> changed = new LinkedHashMap<>();
    for (EndpointChange change : changes.subList((int) afterVersion, (int) version)) {
      changed.put(change.entry().index(), change.entry());
    }
    return changed.values();
  }

  /** The entries of the list at a version; those that have left it are not among them. */
  Collection<EndpointEntry> entriesAt(long version) {
    Map<Integer, EndpointEntry> entries = new LinkedHashMap<>();
    for (int index = 0; index < listEntries; index++) {
      entries.put(index, new EndpointEntry(index, EndpointEntry.IN_SERVICE, 1));
    }
    for (EndpointChange change : changes.subList(0, (int) version)) {
      entries.put(change.entry().index(), change.entry());
    }
    entries.values().removeIf(entry -> entry.status().equals(EndpointEntry.TERMINATED));
    return entries.values();
  }
}
