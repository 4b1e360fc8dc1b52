package loadbalancer.policy;

import java.util.Arrays;

/**
 * The points of a {@link HashRing} in order, as a two-level sorted array: a directory of blocks, in
 * which each block holds up to {@link #MAX_BLOCK_SIZE} points. Points are ordered by hash, and
 * those of equal hash by the id of their owner, so that the order does not depend on the slots.
 *
 * <p>With n points, finding a position takes O(log n). Adding or removing a point also moves the
 * points of one block or of two neighbors; the directory is moved only when a block is split,
 * merged or dropped, which is once in hundreds of changes.
 */
final class RingBlocks {
  /** A block that holds this many points is split before the next one is added. */
  static final int MAX_BLOCK_SIZE = 512;

  /** Neighboring blocks are merged when they hold no more points than this together. */
  static final int MERGED_BLOCK_SIZE = MAX_BLOCK_SIZE / 2;

  private static final int MIN_DIRECTORY_CAPACITY = 8;

  private final RingMembers members;

  /** The blocks in order. Only the first {@link #blockCount} exist, and each of them has points. */
  private long[][] blocks = new long[MIN_DIRECTORY_CAPACITY][];

  /** The first point of each block, kept side by side so that a search reads little memory. */
  private long[] firstPoints = new long[MIN_DIRECTORY_CAPACITY];

  /** The number of points in each block, which may be less than the block's capacity. */
  private int[] sizes = new int[MIN_DIRECTORY_CAPACITY];

  private int blockCount;

  /** Creates an empty array of points that are owned by the members. */
  RingBlocks(RingMembers members) {
    this.members = members;
  }

  /** The number of blocks. */
  int blockCount() {
    return blockCount;
  }

  /** The number of points in a block; 0 for the first one if there is no block. */
  int sizeOf(int block) {
    return sizes[block];
  }

  /** The point at an index of a block. */
  long pointAt(int block, int index) {
    return blocks[block][index];
  }

  /** The last block whose first point has a lower hash; the first block if there is none. */
  int blockOf(long hash) {
    int low = 0;
    int high = blockCount;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (firstPoints[middle] < hash) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return Math.max(0, low - 1);
  }

  /** The index of a block's first point with at least this hash; the block's size if none has. */
  int indexOf(int block, long hash) {
    long[] points = blocks[block];
    int low = 0;
    int high = sizes[block];
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (points[middle] < hash) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** Replaces all points with those of blocks that are sorted and not empty. */
  void replaceAll(long[][] newBlocks, int newBlockCount) {
    blockCount = newBlockCount;
    int capacity = Math.max(MIN_DIRECTORY_CAPACITY, newBlockCount);
    blocks = Arrays.copyOf(newBlocks, capacity);
    firstPoints = new long[capacity];
    sizes = new int[capacity];
    for (int block = 0; block < newBlockCount; block++) {
      firstPoints[block] = newBlocks[block][0];
      sizes[block] = newBlocks[block].length;
    }
  }

  /** Adds a point. */
  void add(long point) {
    if (blockCount == 0) {
      insertBlock(0, new long[] {point});
      return;
    }
    int block = blockFor(point);
    if (sizes[block] >= MAX_BLOCK_SIZE) {
      split(block);
      block = blockFor(point);
    }
    int index = indexAfter(block, point);
    int size = sizes[block];
    if (size == blocks[block].length) {
      blocks[block] = Arrays.copyOf(blocks[block], capacityFor(size + 1));
    }
    System.arraycopy(blocks[block], index, blocks[block], index + 1, size - index);
    blocks[block][index] = point;
    firstPoints[block] = blocks[block][0];
    sizes[block]++;
  }

  /** Removes a point that was added before. */
  void remove(long point) {
    int block = blockFor(point);
    int index = indexAfter(block, point) - 1;
    if (index < 0 || blocks[block][index] != point) {
      throw new IllegalStateException("hash ring: no such point");
    }
    System.arraycopy(blocks[block], index + 1, blocks[block], index, sizes[block] - index - 1);
    firstPoints[block] = blocks[block][0];
    sizes[block]--;
    if (sizes[block] == 0) {
      removeBlock(block);
    } else if (block + 1 < blockCount && areMergeable(block)) {
      mergeWithNext(block);
    } else if (block > 0 && areMergeable(block - 1)) {
      mergeWithNext(block - 1);
    }
  }

  private int compare(long point, long other) {
    long hash = RingPoint.hashOf(point);
    long otherHash = RingPoint.hashOf(other);
    if (hash != otherHash) {
      return Long.compare(hash, otherHash);
    }
    return Long.compare(
        members.at(RingPoint.slotOf(point)).id, members.at(RingPoint.slotOf(other)).id);
  }

  /** The last block whose first point is not after the given one; the first if there is none. */
  private int blockFor(long point) {
    int low = 0;
    int high = blockCount;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (compare(firstPoints[middle], point) <= 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return Math.max(0, low - 1);
  }

  /** The index behind all points of a block that are not after the given one. */
  private int indexAfter(int block, long point) {
    long[] points = blocks[block];
    int low = 0;
    int high = sizes[block];
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (compare(points[middle], point) <= 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** The size and one eighth, so that few additions allocate and little memory is unused. */
  private static int capacityFor(int size) {
    return Math.max(size, Math.min(MAX_BLOCK_SIZE, size + size / 8));
  }

  private void split(int block) {
    int half = sizes[block] / 2;
    long[] upper = Arrays.copyOfRange(blocks[block], half, sizes[block]);
    blocks[block] = Arrays.copyOf(blocks[block], half);
    sizes[block] = half;
    insertBlock(block + 1, upper);
  }

  private boolean areMergeable(int block) {
    return sizes[block] + sizes[block + 1] <= MERGED_BLOCK_SIZE;
  }

  private void mergeWithNext(int block) {
    int size = sizes[block];
    long[] merged = Arrays.copyOf(blocks[block], size + sizes[block + 1]);
    System.arraycopy(blocks[block + 1], 0, merged, size, sizes[block + 1]);
    blocks[block] = merged;
    sizes[block] = merged.length;
    removeBlock(block + 1);
  }

  private void insertBlock(int block, long[] points) {
    if (blockCount == blocks.length) {
      int capacity = blockCount + blockCount / 2;
      blocks = Arrays.copyOf(blocks, capacity);
      firstPoints = Arrays.copyOf(firstPoints, capacity);
      sizes = Arrays.copyOf(sizes, capacity);
    }
    System.arraycopy(blocks, block, blocks, block + 1, blockCount - block);
    System.arraycopy(firstPoints, block, firstPoints, block + 1, blockCount - block);
    System.arraycopy(sizes, block, sizes, block + 1, blockCount - block);
    blocks[block] = points;
    firstPoints[block] = points[0];
    sizes[block] = points.length;
    blockCount++;
  }

  private void removeBlock(int block) {
    blockCount--;
    System.arraycopy(blocks, block + 1, blocks, block, blockCount - block);
    System.arraycopy(firstPoints, block + 1, firstPoints, block, blockCount - block);
    System.arraycopy(sizes, block + 1, sizes, block, blockCount - block);
    blocks[blockCount] = null;
    sizes[blockCount] = 0;
  }
}
