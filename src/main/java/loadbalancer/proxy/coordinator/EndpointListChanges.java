package loadbalancer.proxy.coordinator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.config.EndpointList;
import loadbalancer.proxy.upstream.EndpointTable;

/**
 * The changes that a list makes to the endpoint table. They are determined in steps by {@link
 * #compareNext} and then taken in slices by {@link #takeNext}. Drains and removals come before all
 * other changes, so that the endpoints get no new requests while the rest of a long list waits. Not
 * thread-safe: used on the event loop only.
 */
final class EndpointListChanges {

  private final EndpointTable endpoints;
  private final boolean isFullList;
  private final Iterator<EndpointList.Endpoint> uncomparedEntries;

  /** The ids in a full list; an endpoint of the table with another id has been removed. */
  private final Set<Long> listedIds = new HashSet<>();

  /** The endpoints of the table that may be missing from a full list; null until then. */
  private Iterator<Long> uncheckedIds;

  private final Map<Long, EndpointList.Endpoint> drainsAndRemovals = new LinkedHashMap<>();
  private final Map<Long, EndpointList.Endpoint> otherChanges = new LinkedHashMap<>();

  /**
   * Starts without any change determined.
   *
   * @param endpoints the table; no other list may be applied to it until the changes are taken
   * @param list the full list or the changed entries
   */
  EndpointListChanges(EndpointTable endpoints, EndpointList list) {
    this.endpoints = endpoints;
    isFullList = list.full();
    uncomparedEntries = list.endpoints().iterator();
  }

  /** Whether all changes have been determined. */
  boolean isCompared() {
    if (uncomparedEntries.hasNext()) {
      return false;
    }
    return !isFullList || (uncheckedIds != null && !uncheckedIds.hasNext());
  }

  /** Compares up to this number of entries, or of endpoints of the table, with the other side. */
  void compareNext(int maxCount) {
    if (uncomparedEntries.hasNext()) {
      compareEntries(maxCount);
    } else if (uncheckedIds == null) {
      uncheckedIds = endpoints.endpointIds().iterator();
    } else {
      findMissingEndpoints(maxCount);
    }
  }

  private void compareEntries(int maxCount) {
    for (int count = 0; count < maxCount && uncomparedEntries.hasNext(); count++) {
      EndpointList.Endpoint entry = uncomparedEntries.next();
      long endpointId = entry.descriptor().endpointId();
      if (isFullList) {
        listedIds.add(endpointId);
      }
      // If a list has several entries for one endpoint, the last one counts.
      drainsAndRemovals.remove(endpointId);
      otherChanges.remove(endpointId);
      if (!endpoints.isCurrent(entry)) {
        (entry.isDraining() ? drainsAndRemovals : otherChanges).put(endpointId, entry);
      }
    }
  }

  private void findMissingEndpoints(int maxCount) {
    for (int count = 0; count < maxCount && uncheckedIds.hasNext(); count++) {
      long endpointId = uncheckedIds.next();
      if (!listedIds.contains(endpointId)) {
        endpoints
            .removalEntry(endpointId)
            .ifPresent(removal -> drainsAndRemovals.put(endpointId, removal));
      }
    }
  }

  /** Whether all changes have been taken; meaningful once {@link #isCompared} returns true. */
  boolean isEmpty() {
    return drainsAndRemovals.isEmpty() && otherChanges.isEmpty();
  }

  /** Returns up to this number of changes, which are not returned again. */
  List<EndpointList.Endpoint> takeNext(int maxCount) {
    List<EndpointList.Endpoint> taken = new ArrayList<>(maxCount);
    moveValues(drainsAndRemovals, taken, maxCount);
    moveValues(otherChanges, taken, maxCount);
    return taken;
  }

  /** Moves values to a list until the list has this size. */
  private static void moveValues(
      Map<Long, EndpointList.Endpoint> source, List<EndpointList.Endpoint> target, int size) {
    Iterator<EndpointList.Endpoint> values = source.values().iterator();
    while (target.size() < size && values.hasNext()) {
      target.add(values.next());
      values.remove();
    }
  }
}
