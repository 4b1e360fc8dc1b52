package loadbalancer.proxy.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
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
  private final Iterator<EndpointList.Endpoint> entriesToIndex;

  /** The entry of each endpoint in the list; if it has several, the last one counts. */
  private final Map<Long, EndpointList.Endpoint> entryById;

  /** The entries to compare with the table; null until all are indexed. */
  private Iterator<EndpointList.Endpoint> entriesToCompare;

  /** The endpoints of the table that may be missing from the list; none if it is not full. */
  private final Iterator<Long> idsToFind;

  private final Queue<EndpointList.Endpoint> drainsAndRemovals = new ArrayDeque<>();
  private final Queue<EndpointList.Endpoint> otherChanges = new ArrayDeque<>();

  /**
   * Starts without any change determined.
   *
   * @param endpoints the table; no other list may be applied to it until the changes are taken
   * @param list the full list or the changed entries
   */
  EndpointListChanges(EndpointTable endpoints, EndpointList list) {
    this.endpoints = endpoints;
    entriesToIndex = list.endpoints().iterator();
    entryById = newMap(list.endpoints().size());
    idsToFind = list.full() ? endpoints.endpointIds() : List.<Long>of().iterator();
  }

  /** Creates a map that never has to be rehashed, which would hold the event loop. */
  private static Map<Long, EndpointList.Endpoint> newMap(int maxSize) {
    float loadFactor = 0.75f;
    return new HashMap<>((int) (maxSize / loadFactor) + 1, loadFactor);
  }

  /** Whether all changes have been determined. */
  boolean isCompared() {
    return entriesToCompare != null && !entriesToCompare.hasNext() && !idsToFind.hasNext();
  }

  /** Takes the comparison further by up to this number of entries or endpoints. */
  void compareNext(int maxCount) {
    for (int count = 0; count < maxCount && !isCompared(); count++) {
      if (entriesToIndex.hasNext()) {
        EndpointList.Endpoint entry = entriesToIndex.next();
        entryById.put(entry.descriptor().endpointId(), entry);
      } else if (entriesToCompare == null) {
        entriesToCompare = entryById.values().iterator();
      } else if (entriesToCompare.hasNext()) {
        compare(entriesToCompare.next());
      } else {
        findInList(idsToFind.next());
      }
    }
  }

  private void compare(EndpointList.Endpoint entry) {
    if (!endpoints.isCurrent(entry)) {
      (entry.isDraining() ? drainsAndRemovals : otherChanges).add(entry);
    }
  }

  private void findInList(long endpointId) {
    if (!entryById.containsKey(endpointId)) {
      endpoints.removalEntry(endpointId).ifPresent(drainsAndRemovals::add);
    }
  }

  /** Whether all changes have been taken; meaningful once {@link #isCompared} returns true. */
  boolean isEmpty() {
    return drainsAndRemovals.isEmpty() && otherChanges.isEmpty();
  }

  /** Returns up to this number of changes, which are not returned again. */
  List<EndpointList.Endpoint> takeNext(int maxCount) {
    List<EndpointList.Endpoint> taken = new ArrayList<>(maxCount);
    while (taken.size() < maxCount && !isEmpty()) {
      taken.add(drainsAndRemovals.isEmpty() ? otherChanges.remove() : drainsAndRemovals.remove());
    }
    return taken;
  }
}
