package loadbalancer.policy;

import java.util.Arrays;

/**
 * The endpoints that own points of a {@link HashRing}. Each has a slot, a small number that stays
 * the same while it is a member and that another endpoint may get afterwards.
 */
final class RingMembers {
  private Endpoint[] bySlot = new Endpoint[16];

  /** The number of slots that are or were in use. */
  private int usedSlots;

  /** The slots that are free again, as a stack. */
  private int[] freeSlots = new int[16];

  private int freeCount;

  /** The member in a slot. */
  Endpoint at(int slot) {
    return bySlot[slot];
  }

  /** Gives the endpoint a slot, to be kept in {@link Endpoint#ringSlot}. */
  void add(Endpoint endpoint) {
    int slot = freeCount > 0 ? freeSlots[--freeCount] : usedSlots++;
    if (slot >= RingPoint.MAX_OWNERS) {
      throw new IllegalStateException("hash ring: more than " + RingPoint.MAX_OWNERS + " members");
    }
    if (slot == bySlot.length) {
      bySlot = Arrays.copyOf(bySlot, 2 * slot);
    }
    bySlot[slot] = endpoint;
    endpoint.ringSlot = slot;
  }

  /** Frees the slot of an endpoint that owns no point any more. */
  void remove(Endpoint endpoint) {
    if (freeCount == freeSlots.length) {
      freeSlots = Arrays.copyOf(freeSlots, 2 * freeCount);
    }
    freeSlots[freeCount++] = endpoint.ringSlot;
    bySlot[endpoint.ringSlot] = null;
  }

  /** Removes all members and their points. */
  void clear() {
    for (int slot = 0; slot < usedSlots; slot++) {
      if (bySlot[slot] != null) {
        bySlot[slot].ringPointCount = 0;
        bySlot[slot] = null;
      }
    }
    usedSlots = 0;
    freeCount = 0;
  }
}
