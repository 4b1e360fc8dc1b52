package loadbalancer.policy;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * An immutable consistent-hash ring (Karger et al., 1997): each member owns pseudo-random points,
 * and a key belongs to the owner of the first point at or after the hash of the key. {@link
 * EndpointRegistry} builds a new ring at each update of the endpoint list, and {@link
 * BoundedLoadPlacement} walks it.
 */
final class HashRing {
  /** The low 20 bits of a point hold its owner's index; no endpoint list has as many entries. */
  private static final long MAX_MEMBERS = 1 << 20;

  /** Sorted. Primitive values, since each update during a rolling deployment rebuilds the ring. */
  private final long[] points;

  private final Endpoint[] owners;

  /** Creates a ring on which each member owns as many points as {@code pointCount} returns. */
  HashRing(List<Endpoint> members, ToLongFunction<Endpoint> pointCount) {
    long[] unsorted = new long[(int) members.stream().mapToLong(pointCount).sum()];
    int count = 0;
    for (int m = 0; m < members.size(); m++) {
      long end = count + pointCount.applyAsLong(members.get(m));
      for (int i = 0; count < end; i++) {
        unsorted[count++] = (mix(mix(members.get(m).id) + i) & -MAX_MEMBERS) | m;
      }
    }
    Arrays.sort(unsorted);
    points = unsorted;
    owners =
        Arrays.stream(points)
            .mapToObj(point -> members.get((int) (point & MAX_MEMBERS - 1)))
            .toArray(Endpoint[]::new);
  }

  /** The finalizer of SplitMix64, which spreads consecutive inputs over all 64 bits. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** The position of the first point at or after the hash of the key, where its walk starts. */
  int positionOf(String key) {
    int position = Arrays.binarySearch(points, mix(mix(key.hashCode())));
    return position < 0 ? -position - 1 : position;
  }

  /** The owner of the point at a position, modulo the number of points; the ring is not empty. */
  Endpoint ownerAt(int position) {
    return owners[position % owners.length];
  }
}
