package loadbalancer.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SimulationTest {

  private final Simulation simulation = new Simulation();
  private final List<String> executed = new ArrayList<>();

  @Test
  void runsTasksInOrderOfDueTimeAndThenOfScheduling() {
    simulation.schedule(20, () -> executed.add("late"));
    simulation.schedule(10, () -> executed.add("first"));
    simulation.schedule(10, () -> executed.add("second"));
    simulation.run(20);
    assertEquals(List.of("first", "second", "late"), executed);
  }

  @Test
  void stopsAtTheGivenTimeAndKeepsLaterTasks() {
    simulation.schedule(5, () -> simulation.schedule(6, () -> executed.add("nested")));
    simulation.run(10);
    assertEquals(List.of(), executed);
    assertEquals(10, simulation.nowNanos());
    simulation.run(11);
    assertEquals(List.of("nested"), executed);
  }

  @Test
  void refusesToGoBackInTime() {
    simulation.run(10);
    assertThrows(IllegalArgumentException.class, () -> simulation.run(9));
    assertThrows(IllegalArgumentException.class, () -> simulation.schedule(-1, () -> {}));
  }
}
