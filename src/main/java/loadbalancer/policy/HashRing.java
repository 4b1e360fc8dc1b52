package loadbalancer.policy;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * A consistent-hash ring (Karger et al., 1997): each member owns pseudo-random points, and a key
 * belongs to the owner of the first point at or after its hash. The ring is immutable; {@link
 * EndpointRegistry} builds a new one at each change of the endpoint list, and {@link
 * BoundedLoadPlacement} walks it.
 */
final class HashRing {
  /** The low bits of a point hold its owner's index: more members than a list can hold. */
  private static final long OWNER_INDEXES = 1 << 20;

  /** Sorted; primitive, since the ring is rebuilt at each update of a rolling deploy. */
  private final long[] points;

  private final Endpoint[] owners;

  /** A ring of the members, each with the number of points that {@code pointsOf} gives it. */
  HashRing(List<Endpoint> members, ToLongFunction<Endpoint> pointsOf) {
    long[] unsorted = new long[(int) members.stream().mapToLong(pointsOf).sum()];
    int count = 0;
    for (int m = 0; m < members.size(); m++) {
      long end = count + pointsOf.applyAsLong(members.get(m));
      for (int i = 0; count < end; i++) {
        unsorted[count++] = (mix(mix(members.get(m).id) + i) & -OWNER_INDEXES) | m;
      }
    }
    Arrays.sort(unsorted);
    points = unsorted;
    owners =
        Arrays.stream(points)
            .mapToObj(point -> members.get((int) (point & OWNER_INDEXES - 1)))
            .toArray(Endpoint[]::new);
  }

  /** The finalizer of SplitMix64, which spreads consecutive inputs over all 64 bits. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** The position on the ring at which a key's walk starts. */
  int positionOf(String key) {
    int position = Arrays.binarySearch(points, mix(mix(key.hashCode())));
    return position < 0 ? -position - 1 : position;
  }

  /** The owner of the point at a position; positions past the end go around the ring. */
  Endpoint ownerAt(int position) {
    return owners[position % owners.length];
  }
}
