package loadbalancer.policy;

/**
 * A walk along a {@link HashRing}, from the position of a key through the owners of all points. It
 * is reused, since every attempt walks the ring. The ring must not change during a walk.
 */
final class RingWalk {
  private final RingBlocks points;
  private final RingMembers members;
  private int block;
  private int index;

  /** Creates a walk that has not been started. */
  RingWalk(RingBlocks points, RingMembers members) {
    this.points = points;
    this.members = members;
  }

  /** Starts at the first point at or after the hash of the key, in O(log n) for n points. */
  void start(String key) {
    long hash = RingPoint.hashOfKey(key);
    block = points.blockOf(hash);
    index = points.indexOf(block, hash);
  }

  /**
   * The owner of the next point, in O(1). The walk goes on at the first point after the last one;
   * the ring is not empty.
   */
  Endpoint next() {
    if (index >= points.sizeOf(block)) {
      index = 0;
      block = block + 1 < points.blockCount() ? block + 1 : 0;
    }
    long point = points.pointAt(block, index);
    index++;
    return members.at(RingPoint.slotOf(point));
  }
}
