package loadbalancer.policy;

import java.util.Arrays;
import java.util.List;

/**
 * Sorts the points of many endpoints into blocks for {@link RingBlocks}. Since hashes are spread
 * evenly, each block covers an equal range of them and is sorted on its own, in O(n) overall. This
 * needs no second copy of the points. Skewed hashes give blocks of unequal size.
 */
final class RingBuilder {
  private final List<Endpoint> members;
  private final int bucketCount;
  private final long[][] buckets;

  /**
   * Creates a builder.
   *
   * @param members the owners of the points, in the order of their slots and ids
   */
  RingBuilder(List<Endpoint> members) {
    this.members = members;
    long points = members.stream().mapToLong(member -> member.ringPointCount).sum();
    bucketCount = (int) (points / RingBlocks.MERGED_BLOCK_SIZE) + 1;
    buckets = new long[bucketCount][];
  }

  /** Puts the points of the members, as many as each has, into the blocks. */
  void buildInto(RingBlocks blocks) {
    allocateBuckets();
    fillBuckets();
    int blockCount = 0;
    for (long[] bucket : buckets) {
      // Sorts by hash and slot. The slots are in the order of the ids.
      Arrays.sort(bucket);
      if (bucket.length > 0) {
        buckets[blockCount++] = bucket;
      }
    }
    blocks.replaceAll(buckets, blockCount);
  }

  private void allocateBuckets() {
    int[] sizes = new int[bucketCount];
    for (Endpoint member : members) {
      long seed = RingPoint.seedOf(member.id);
      for (int i = 0; i < member.ringPointCount; i++) {
        sizes[bucketOf(RingPoint.of(seed, i, 0))]++;
      }
    }
    for (int b = 0; b < bucketCount; b++) {
      buckets[b] = new long[sizes[b]];
    }
  }

  private void fillBuckets() {
    int[] filled = new int[bucketCount];
    for (Endpoint member : members) {
      long seed = RingPoint.seedOf(member.id);
      for (int i = 0; i < member.ringPointCount; i++) {
        long point = RingPoint.of(seed, i, member.ringSlot);
        int bucket = bucketOf(point);
        buckets[bucket][filled[bucket]++] = point;
      }
    }
  }

  /** The bucket of a point by its top 32 bits, of which equal ranges go to each bucket. */
  private int bucketOf(long point) {
    long unsignedTopBits = (point ^ Long.MIN_VALUE) >>> Integer.SIZE;
    return (int) ((unsignedTopBits * bucketCount) >>> Integer.SIZE);
  }
}
