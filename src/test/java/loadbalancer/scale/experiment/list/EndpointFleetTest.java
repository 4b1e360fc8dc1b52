package loadbalancer.scale.experiment.list;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.config.EndpointList;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.scale.config.EntryChangeMix;
import loadbalancer.scale.config.ListSettings;
import org.junit.jupiter.api.Test;

/** Tests the messages of the modelled discovery service. */
class EndpointFleetTest {

  private static final int SIZE = 300;

  private static ListSettings settings(EntryChangeMix mix) {
    return new ListSettings(
        List.of(SIZE), 3, 10, 0, 1, 1, mix, 1, 1, 1, 1, /* stretchLimitMs= */ 1, 1, 1);
  }

  private static EndpointFleet fleet(EntryChangeMix mix, long seed) {
    return new EndpointFleet(settings(mix), SIZE, seed);
  }

  private static EndpointFleet fleet(long seed) {
    return fleet(new EntryChangeMix(4, 4, 1, 1), seed);
  }

  @Test
  void messageHasTheFieldsOfTheDiscoveryService() {
    ListMessage message =
        new ListMessage(
            41,
            true,
            List.of(
                new ListMessage.Entry(
                    "s-5be2a07c", "10.1.0.18:5000", "a", "m2", 3, "in_service", 1.0, 0)));
    assertEquals(
        "{\"index\":41,\"snapshot\":true,\"endpoints\":[{\"name\":\"s-5be2a07c\","
            + "\"address\":\"10.1.0.18:5000\",\"zone\":\"a\",\"type\":\"m2\",\"group\":3,"
            + "\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0}]}",
        message.toJson());
    assertEquals(message.toJson().length() + 1, ListMessage.wireBytes(message.toJson()));
  }

  @Test
  void fullListHasDistinctEndpointsInAllZones() {
    EndpointList list = ListReceiver.parse(fleet(1).fullList().toJson());
    assertTrue(list.full());
    assertEquals(SIZE, list.endpoints().size());
    Set<Long> ids = new HashSet<>();
    Set<String> zones = new HashSet<>();
    Set<Object> addresses = new HashSet<>();
    for (EndpointList.Endpoint endpoint : list.endpoints()) {
      ids.add(endpoint.descriptor().endpointId());
      zones.add(endpoint.descriptor().zone());
      addresses.add(endpoint.address());
      assertEquals(EndpointStatus.READY, endpoint.descriptor().status());
    }
    assertEquals(SIZE, ids.size());
    assertEquals(SIZE, addresses.size());
    assertEquals(Set.of("z00", "z01", "z02"), zones);
  }

  @Test
  void changesLeadFromOneFullListToTheNext() {
    EndpointFleet fleet = fleet(1);
    Map<String, ListMessage.Entry> expected = new HashMap<>();
    fleet.fullList().endpoints().forEach(entry -> expected.put(entry.name(), entry));
    for (int i = 0; i < 500; i++) {
      ListMessage change = fleet.change(3);
      assertFalse(change.snapshot());
      assertEquals(3, change.endpoints().size());
      for (ListMessage.Entry entry : change.endpoints()) {
        expected.put(entry.name(), entry);
        expected.values().removeIf(known -> known.status().equals(ListMessage.TERMINATED));
      }
    }
    assertEquals(Set.copyOf(expected.values()), Set.copyOf(fleet.fullList().endpoints()));
  }

  @Test
  void restartHasALaterStartTime() {
    ListMessage change = fleet(new EntryChangeMix(1, 0, 0, 0), 1).change(1);
    ListMessage.Entry entry = change.endpoints().get(0);
    assertEquals(ListMessage.IN_SERVICE, entry.status());
    assertEquals(EndpointFleet.START_MILLIS + change.index(), entry.sinceMs());
  }

  @Test
  void drainedEndpointIsRestartedFirst() {
    EndpointFleet fleet = fleet(new EntryChangeMix(1, 1, 0, 0), 1);
    Set<String> draining = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      ListMessage.Entry entry = fleet.change(1).endpoints().get(0);
      if (entry.status().equals(ListMessage.TERMINATING)) {
        draining.add(entry.name());
      } else {
        assertTrue(draining.remove(entry.name()) || draining.isEmpty());
      }
    }
  }

  @Test
  void fleetThatDrainsCompletelyGetsNewEndpoints() {
    EndpointFleet fleet = fleet(new EntryChangeMix(0, 1, 0, 0), 1);
    fleet.change(SIZE + 1);
    assertEquals(SIZE + 1, fleet.fullList().endpoints().size());
  }

  @Test
  void seedDeterminesTheMessages() {
    assertEquals(fleet(1).fullList(), fleet(1).fullList());
    assertEquals(fleet(1).change(50), fleet(1).change(50));
    assertNotEquals(fleet(1).change(50), fleet(2).change(50));
  }
}
