package loadbalancer.policy;

import java.util.List;
import java.util.function.ToIntFunction;

/**
 * A consistent-hash ring (Karger et al., 1997): each member owns pseudo-random points, and a key
 * belongs to the owner of the first point at or after the hash of the key. {@link EndpointRegistry}
 * updates the ring with the endpoint list, and {@link BoundedLoadPlacement} walks it.
 *
 * <p>The order of the owners depends on the present members and their numbers of points only, not
 * on the updates that led to them. A change of one member takes O(p log n) if p of the n points
 * change, see {@link RingBlocks}; replacing all members takes O(n), see {@link RingBuilder}.
 */
final class HashRing {
  private final RingMembers members = new RingMembers();
  private final RingBlocks points = new RingBlocks(members);

  /** Creates a walk along this ring, which remains valid when the ring changes between walks. */
  RingWalk newWalk() {
    return new RingWalk(points, members);
  }

  /** Adds or removes points of an endpoint, so that it owns as many as given; 0 to remove it. */
  void setPointCount(Endpoint endpoint, int pointCount) {
    int oldCount = endpoint.ringPointCount;
    if (oldCount == 0 && pointCount > 0) {
      members.add(endpoint);
    }
    long seed = RingPoint.seedOf(endpoint.id);
    for (int i = oldCount; i < pointCount; i++) {
      points.add(RingPoint.of(seed, i, endpoint.ringSlot));
    }
    for (int i = pointCount; i < oldCount; i++) {
      points.remove(RingPoint.of(seed, i, endpoint.ringSlot));
    }
    endpoint.ringPointCount = pointCount;
    if (oldCount > 0 && pointCount == 0) {
      members.remove(endpoint);
    }
  }

  /** Replaces all members with these, which are in the order of their ids and own points each. */
  void replaceAll(List<Endpoint> newMembers, ToIntFunction<Endpoint> pointCount) {
    members.clear();
    for (Endpoint member : newMembers) {
      members.add(member);
      member.ringPointCount = pointCount.applyAsInt(member);
    }
    new RingBuilder(newMembers).buildInto(points);
  }
}
