package loadbalancer.proxy.http;

/**
 * Limits the heap that messages of peers take together. Whoever keeps a message in memory holds a
 * {@link Reservation} for it. Not thread-safe: used on the event loop only.
 */
public final class MemoryBudget {

  private final long maxBytes;
  private long reservedBytes;

  /** Creates a budget without reservations. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates a budget of a fraction of the JVM's maximum heap size. */
  public static MemoryBudget ofMaxHeap(double fraction) {
    return new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * fraction));
  }

  /** Creates an empty reservation. */
  public Reservation newReservation() {
    return new Reservation();
  }

  /** The sum of all reservations. */
  public long reservedBytes() {
    return reservedBytes;
  }

  /** The memory reserved for one message. */
  public final class Reservation {

    private long bytes;

    private Reservation() {}

    /** The size of the reservation. */
    public long bytes() {
      return bytes;
    }

    /**
     * Changes the size of the reservation. Returns false, without effect, if it would grow beyond
     * what is left of the budget.
     */
    public boolean tryResize(long newBytes) {
      long addedBytes = newBytes - bytes;
      if (addedBytes > 0 && addedBytes > maxBytes - reservedBytes) {
        return false;
      }
      reservedBytes += addedBytes;
      bytes = newBytes;
      return true;
    }

    /** Returns all bytes to the budget. */
    public void release() {
      reservedBytes -= bytes;
      bytes = 0;
    }
  }
}
