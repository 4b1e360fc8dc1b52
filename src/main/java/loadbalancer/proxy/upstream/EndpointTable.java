package loadbalancer.proxy.upstream;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointStatus;

/**
 * The upstreams that the list names, and those that it named as long as attempts are out to them.
 */
public final class EndpointTable {

  /** An upstream as the list last told of it, with its connections. */
  public static final class Entry {
    private final long id;
    private EndpointConnectionPool pool;
    private EndpointDescriptor listed;
    private boolean leaving;
    private boolean gone;
    private int out;

    private Entry(long id) {
      this.id = id;
    }

    public EndpointConnectionPool pool() {
      return pool;
    }

    public EndpointDescriptor descriptor() {
      return listed;
    }

    /** Whether the list says that it wants nothing new, or is gone. */
    public boolean leaving() {
      return leaving;
    }
  }

  private final UpstreamConnectionPools pools;
  private final Map<Long, Entry> entries = new HashMap<>();

  public EndpointTable(UpstreamConnectionPools pools) {
    this.pools = pools;
  }

  /**
   * The upstream of this id; null where the list never named it, or it is gone and nothing is out
   * to it.
   */
  public Entry get(long id) {
    return entries.get(id);
  }

  int size() {
    return entries.size();
  }

  /** Takes in changes, or the whole list: one that is absent from that is gone. */
  public void news(boolean whole, List<EndpointList.Host> hosts) {
    Set<Long> named = new HashSet<>();
    for (EndpointList.Host host : hosts) {
      named.add(host.descriptor().endpointId());
      update(host);
    }
    if (whole) {
      List.copyOf(entries.values()).stream()
          .filter(e -> !named.contains(e.id))
          .forEach(e -> leave(e, true));
    }
  }

  private void update(EndpointList.Host host) {
    EndpointDescriptor listed = host.descriptor();
    Entry e = entries.computeIfAbsent(listed.endpointId(), Entry::new);
    if (e.pool == null || !e.pool.address().equals(host.address()) || e.gone) {
      if (e.pool != null) {
        e.pool.close();
      }
      e.pool = pools.createPool(host.address());
    }
    e.listed = listed;
    if (listed.status() == EndpointStatus.READY) {
      e.leaving = false;
      e.gone = false;
    } else {
      leave(e, listed.status() == EndpointStatus.REMOVED);
    }
  }

  private void leave(Entry e, boolean gone) {
    e.leaving = true;
    e.gone = gone;
    if (gone) {
      e.pool.close();
      forgetIfOver(e);
    }
  }

  public void started(Entry e) {
    e.out++;
  }

  public void ended(Entry e) {
    e.out--;
    forgetIfOver(e);
  }

  /** Guards the memory where upstreams are replaced all day under new ids. */
  private void forgetIfOver(Entry e) {
    if (e.gone && e.out == 0) {
      entries.remove(e.id, e);
    }
  }
}
