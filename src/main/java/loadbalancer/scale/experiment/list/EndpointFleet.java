package loadbalancer.scale.experiment.list;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.scale.config.ListSettings;
import loadbalancer.scale.experiment.list.ListMessage.Entry;

/**
 * The endpoints of a fleet as discovery lists them, and their changes. Deterministic for a given
 * seed.
 */
public final class EndpointFleet {

  /** When the fleet's clock starts; endpoints whose start time is 0 started long before. */
  public static final long START_MILLIS = 3_600_000L;

  private static final String MACHINE_TYPE = "m2";
  private static final int PORT = 5000;
  private static final int ADDRESSES_PER_BYTE = 256;

  /** An odd number that spreads consecutive numbers. */
  private static final int NAME_MULTIPLIER = 0x9e3779b1;

  private final ListSettings settings;
  private final SplittableRandom random;

  /** One slot for each endpoint; the slot of a removed endpoint is used again for a new one. */
  private final List<Entry> slots = new ArrayList<>();

  private final Deque<Integer> drainingSlots = new ArrayDeque<>();
  private final Deque<Integer> freeSlots = new ArrayDeque<>();
  private int createdCount;
  private long index;

  /**
   * Creates a fleet whose endpoints are all in service.
   *
   * @param size the number of endpoints
   * @param seed determines the zones and services of the endpoints, and their changes
   */
  public EndpointFleet(ListSettings settings, int size, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    for (int i = 0; i < size; i++) {
      slots.add(newEntry());
    }
  }

  /** The message with all endpoints. */
  ListMessage fullList() {
    index++;
    List<Entry> listed =
        slots.stream().filter(entry -> !entry.status().equals(ListMessage.TERMINATED)).toList();
    return new ListMessage(index, true, listed);
  }

  /** Changes some entries, of kinds by the settings' frequencies, and returns their message. */
  ListMessage change(int entryCount) {
    index++;
    List<Entry> changed = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      changed.add(changeOne());
    }
    return new ListMessage(index, false, changed);
  }

  private Entry changeOne() {
    double choice = random.nextDouble() * settings.changeMix().total();
    choice -= settings.changeMix().restart();
    if (choice < 0) {
      return restart();
    }
    choice -= settings.changeMix().drain();
    if (choice < 0) {
      return drain();
    }
    choice -= settings.changeMix().removal();
    if (choice < 0) {
      return remove();
    }
    return add();
  }

  /** Restarts the endpoint that has been draining longest, or any other if none is draining. */
  private Entry restart() {
    int slot = drainingSlots.isEmpty() ? slotInService() : drainingSlots.remove();
    return replace(slot, slots.get(slot).restarted(START_MILLIS + index));
  }

  private Entry drain() {
    int slot = slotInService();
    drainingSlots.add(slot);
    return replace(slot, slots.get(slot).withStatus(ListMessage.TERMINATING));
  }

  private Entry remove() {
    int slot = slotInService();
    freeSlots.add(slot);
    return replace(slot, slots.get(slot).withStatus(ListMessage.TERMINATED));
  }

  private Entry add() {
    if (freeSlots.isEmpty()) {
      Entry entry = newEntry();
      slots.add(entry);
      return entry;
    }
    return replace(freeSlots.remove(), newEntry());
  }

  private Entry replace(int slot, Entry entry) {
    slots.set(slot, entry);
    return entry;
  }

  /** Returns the slot of a random endpoint in service; a fleet without one gets a new endpoint. */
  private int slotInService() {
    int first = random.nextInt(slots.size());
    for (int offset = 0; offset < slots.size(); offset++) {
      int slot = (first + offset) % slots.size();
      if (slots.get(slot).status().equals(ListMessage.IN_SERVICE)) {
        return slot;
      }
    }
    slots.add(newEntry());
    return slots.size() - 1;
  }

  private Entry newEntry() {
    int number = createdCount;
    createdCount++;
    return new Entry(
        name(number),
        address(number),
        String.format("z%02d", random.nextInt(settings.zones())),
        MACHINE_TYPE,
        random.nextInt(settings.services()),
        ListMessage.IN_SERVICE,
        /* weight= */ 1,
        /* sinceMs= */ 0);
  }

  /** The multiplication maps the numbers one to one to 32-bit integers, so no name repeats. */
  private static String name(int number) {
    return String.format("s-%08x", number * NAME_MULTIPLIER);
  }

  private static String address(int number) {
    int low = number % ADDRESSES_PER_BYTE;
    int middle = number / ADDRESSES_PER_BYTE % ADDRESSES_PER_BYTE;
    int high = number / (ADDRESSES_PER_BYTE * ADDRESSES_PER_BYTE) % ADDRESSES_PER_BYTE;
    return "10." + high + "." + middle + "." + low + ":" + PORT;
  }
}
