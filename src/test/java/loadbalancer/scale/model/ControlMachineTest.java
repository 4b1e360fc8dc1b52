package loadbalancer.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.Replication;
import loadbalancer.scale.config.TinyChangeSettings;
import org.junit.jupiter.api.Test;

class ControlMachineTest {

  private static final Location LOCATION = new Location(0, 0);

  private final FanOutContext context =
      FanOutContext.create(
          TinyChangeSettings.of(Replication.DIRECT, TinyChangeSettings.LONG_HISTORY, List.of()), 7);
  private final ControlPlane plane = new ControlPlane(context);

  /** Keeps the messages that it receives. */
  private final class RecordingWatcher implements Watcher {

    private final List<DiscoveryMessage> messages = new ArrayList<>();
    private long version;

    @Override
    public Location location() {
      return LOCATION;
    }

    @Override
    public long version() {
      return version;
    }

    @Override
    public void receive(DiscoveryMessage message) {
      messages.add(message);
      version = message.version();
    }

    @Override
    public long transferNanos(long wireBytes) {
      return 0;
    }

    @Override
    public ControlMachine chooseServer(int attempt) {
      return plane.machines().get(7);
    }
  }

  private void enter(int entries) {
    for (int index = 0; index < entries; index++) {
      plane.enter(new EndpointEntry(index, EndpointEntry.TERMINATING, 1), EventKind.STEADY);
    }
  }

  private void runUntil(long second) {
    context.simulation().run(second * Durations.NANOS_PER_SECOND);
  }

  @Test
  void continuesAfterTheWatchersVersionWhenItReconnects() {
    RecordingWatcher watcher = new RecordingWatcher();
    context.clientOf(watcher).start();
    runUntil(5);
    enter(2);
    runUntil(10);
    plane.fail(plane.machines().get(7));
    enter(3);
    runUntil(15);
    assertEquals(2, watcher.version());
    plane.start(plane.machines().get(7));
    runUntil(30);
    assertEquals(5, watcher.version());
    long version = 0;
    for (DiscoveryMessage message : watcher.messages) {
      assertEquals(version, message.afterVersion());
      version = message.version();
    }
  }

  @Test
  void collectsTheChangesOfABatchInOneMessage() {
    RecordingWatcher watcher = new RecordingWatcher();
    context.clientOf(watcher).start();
    runUntil(5);
    enter(20);
    runUntil(10);
    assertEquals(1, watcher.messages.size());
    assertEquals(20, watcher.messages.get(0).list().endpoints().size());
  }

  @Test
  void sendsTheFullListToAWatcherWithoutOne() {
    RecordingWatcher watcher = new RecordingWatcher();
    enter(4);
    runUntil(5);
    watcher.version = MessageFactory.NO_VERSION;
    context.clientOf(watcher).start();
    runUntil(10);
    assertEquals(true, watcher.messages.get(0).list().full());
    assertEquals(210, watcher.messages.get(0).list().endpoints().size());
    assertEquals(4, watcher.version());
  }
}
