package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A ring that was updated in place has the same order of owners as one that is built anew. */
class HashRingUpdateTest {

  /** The ids of endpoints that own points of the same hash: the first two, and the last two. */
  private static final List<Long> TIED_IDS = List.of(227840L, 304974L, 58952L, 289153L);

  private static final int POINTS = 50;

  private static Endpoint endpoint(long id) {
    return new Endpoint(id, new ResponseStatistics(1200));
  }

  private static List<Endpoint> endpoints(int count) {
    return LongStream.range(0, count).mapToObj(HashRingUpdateTest::endpoint).toList();
  }

  /** The ids of the owners of this many points from the position of a key. */
  private static List<Long> owners(RingWalk walk, String key, int points) {
    walk.start(key);
    return IntStream.range(0, points).mapToObj(i -> walk.next().id).toList();
  }

  private static HashRing ringOf(Map<Long, Integer> pointCounts) {
    HashRing ring = new HashRing();
    List<Endpoint> members =
        new TreeMap<>(pointCounts).keySet().stream().map(HashRingUpdateTest::endpoint).toList();
    ring.replaceAll(members, member -> pointCounts.get(member.id));
    return ring;
  }

  /** Checks the owners along a ring against one that is built anew with these points. */
  static void assertSameOwners(RingWalk walk, Map<Long, Integer> pointCounts) {
    RingWalk builtAnew = ringOf(pointCounts).newWalk();
    int points = pointCounts.values().stream().mapToInt(count -> count).sum();
    assertEquals(owners(builtAnew, "k", 2 * points), owners(walk, "k", 2 * points));
    for (int k = 0; k < 50; k++) {
      assertEquals(owners(builtAnew, "k" + k, 20), owners(walk, "k" + k, 20), "key k" + k);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void ownersAreThoseOfRingBuiltAnewAfterEachChange(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Endpoint> all = new ArrayList<>(endpoints(60));
    TIED_IDS.forEach(id -> all.add(endpoint(id)));
    HashRing ring = new HashRing();
    Map<Long, Integer> pointCounts = new TreeMap<>();
    for (int step = 0; step < 400; step++) {
      Endpoint endpoint = all.get(random.nextInt(all.size()));
      // Periods of mostly removals make blocks merge.
      boolean isRemoved = random.nextInt(10) < (step / 100 % 2 == 0 ? 2 : 8);
      int pointCount = isRemoved ? 0 : random.nextInt(13, 201);
      ring.setPointCount(endpoint, pointCount);
      pointCounts.put(endpoint.id, pointCount);
      pointCounts.values().removeIf(count -> count == 0);
      if (!pointCounts.isEmpty()) {
        assertSameOwners(ring.newWalk(), pointCounts);
      }
    }
  }

  @Test
  void tiedPointsAreOrderedByIdWhateverTheOrderOfAdditions() {
    for (int first = 0; first < TIED_IDS.size(); first += 2) {
      long seed = RingPoint.seedOf(TIED_IDS.get(first));
      long otherSeed = RingPoint.seedOf(TIED_IDS.get(first + 1));
      assertTrue(
          IntStream.range(0, POINTS)
              .mapToLong(i -> RingPoint.of(seed, i, 0))
              .anyMatch(
                  point ->
                      IntStream.range(0, POINTS)
                          .anyMatch(i -> RingPoint.of(otherSeed, i, 0) == point)),
          "the ids own points of the same hash");
      for (int added = 0; added < 2; added++) {
        HashRing ring = new HashRing();
        ring.setPointCount(endpoint(TIED_IDS.get(first + added)), POINTS);
        ring.setPointCount(endpoint(TIED_IDS.get(first + 1 - added)), POINTS);
        assertSameOwners(
            ring.newWalk(), Map.of(TIED_IDS.get(first), POINTS, TIED_IDS.get(first + 1), POINTS));
      }
    }
  }

  private static List<List<Long>> copyOfBlocks(RingBlocks blocks) {
    return IntStream.range(0, blocks.blockCount())
        .mapToObj(
            block ->
                IntStream.range(0, blocks.sizeOf(block))
                    .mapToObj(index -> blocks.pointAt(block, index))
                    .toList())
        .toList();
  }

  @Test
  void onePointChangesAtMostTwoBlocksOfBoundedSize() {
    RingMembers members = new RingMembers();
    RingBlocks blocks = new RingBlocks(members);
    List<Endpoint> all = endpoints(2000);
    all.forEach(
        endpoint -> {
          members.add(endpoint);
          endpoint.ringPointCount = POINTS;
        });
    new RingBuilder(all).buildInto(blocks);
    Endpoint changed = endpoint(1_000_000);
    members.add(changed);
    long seed = RingPoint.seedOf(changed.id);
    for (int i = 0; i < 40; i++) {
      long point = RingPoint.of(seed, i / 2, changed.ringSlot);
      List<List<Long>> before = copyOfBlocks(blocks);
      if (i % 2 == 0) {
        blocks.add(point);
      } else {
        blocks.remove(point);
      }
      List<List<Long>> after = copyOfBlocks(blocks);
      assertTrue(after.stream().allMatch(block -> block.size() <= RingBlocks.MAX_BLOCK_SIZE));
      assertTrue(after.size() > 200, "blocks: " + after.size());
      Set<List<Long>> unchanged = new HashSet<>(before);
      long changedBlocks = after.stream().filter(block -> !unchanged.contains(block)).count();
      assertTrue(changedBlocks <= 2, "changed blocks: " + changedBlocks);
    }
  }
}
