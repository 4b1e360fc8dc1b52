package loadbalancer.policy;

/**
 * The representation of a point of the {@link HashRing} in one {@code long}, so that millions of
 * points take eight bytes each. The high 44 bits are a hash of the owner's id and of the number of
 * the point among the owner's points; the low 20 bits are the owner's slot in {@link RingMembers}.
 */
final class RingPoint {
  /** The number of high bits that hold the hash. */
  static final int HASH_BITS = 44;

  /** The number of owners that the other bits can tell apart. */
  static final int MAX_OWNERS = 1 << (Long.SIZE - HASH_BITS);

  private static final long HASH_MASK = -MAX_OWNERS;

  private RingPoint() {}

  /** The seed from which {@link #of} derives the points of an endpoint. */
  static long seedOf(long endpointId) {
    return mix(endpointId);
  }

  /** The point with this number among those of the owner with this seed and slot. */
  static long of(long seed, int number, int slot) {
    return (mix(seed + number) & HASH_MASK) | slot;
  }

  /** The hash of a key, which is comparable with those of points; its low 20 bits are zero. */
  static long hashOfKey(String key) {
    return mix(mix(key.hashCode())) & HASH_MASK;
  }

  /** The hash of a point; its low 20 bits are zero. */
  static long hashOf(long point) {
    return point & HASH_MASK;
  }

  /** The slot of a point's owner. */
  static int slotOf(long point) {
    return (int) (point & ~HASH_MASK);
  }

  /** The finalizer of SplitMix64, which spreads consecutive inputs over all 64 bits. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
