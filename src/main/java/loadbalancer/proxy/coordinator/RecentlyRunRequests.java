package loadbalancer.proxy.coordinator;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import loadbalancer.proxy.http.BoundedKey;

/**
 * The ids of finished requests that an upstream may have run and that must not run twice. Every
 * request has an id of its own, so one that comes again repeats a request whose client has left or
 * did not get the response. Not thread-safe: used on the event loop only.
 */
final class RecentlyRunRequests {

  /** Covers minutes of a balancer's traffic, in a few megabytes of the heap. */
  static final int MAX_IDS = 10_000;

  /** Ordered by the time of the addition, oldest first. */
  private final Set<String> ids = new LinkedHashSet<>();

  /** Adds a finished request, unless no upstream can have run it or a repeat of it is harmless. */
  void add(OpenRequest request) {
    if (request.isIdempotent() || !request.mayHaveRun()) {
      return;
    }
    ids.add(BoundedKey.of(request.id()));
    if (ids.size() > MAX_IDS) {
      Iterator<String> oldest = ids.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns whether a new request may run: it is idempotent, or its id has not come before. */
  boolean mayRun(OpenRequest request) {
    return request.isIdempotent() || !ids.contains(BoundedKey.of(request.id()));
  }
}
