package loadbalancer.scale.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleConsumer;
import java.util.stream.Collectors;
import loadbalancer.config.EndpointList;
import loadbalancer.scale.config.EventKind;
import loadbalancer.scale.config.ScheduledEvent;

/**
 * One run of the model of discovery: changes enter at a control machine, get to the other control
 * machines and from each of them to the agents of its balancers.
 */
public final class FanOutModel {

  private final FanOutScenario scenario;
  private final FanOutContext context;
  private final ControlPlane plane;
  private final DeliveryRecorder recorder;
  private final List<DiscoveryAgent> agents = new ArrayList<>();
  private final List<SampledBalancer> samples = new ArrayList<>();

  /** Creates the model; {@code seed} determines everything that is random in it. */
  public FanOutModel(FanOutScenario scenario, long seed) {
    this.scenario = scenario;
    context = FanOutContext.create(scenario.settings(), seed);
    plane = new ControlPlane(context);
    Set<Integer> cutRegions =
        scenario.events().stream()
            .filter(event -> event.kind() == EventKind.REGION_CUT)
            .map(ScheduledEvent::target)
            .collect(Collectors.toSet());
    recorder =
        new DeliveryRecorder(
            context.log(),
            scenario.balancers(),
            balancer -> cutRegions.contains(agents.get(balancer).location().region()));
    for (int index = 0; index < scenario.balancers(); index++) {
      WatchingBalancer balancer = new WatchingBalancer(index, context, recorder, sample(index));
      agents.add(new DiscoveryAgent(index, context, plane, balancer));
    }
    agents.forEach(DiscoveryAgent::start);
  }

  /** Spreads the sampled balancers evenly over all. */
  private Optional<SampledBalancer> sample(int index) {
    long count = scenario.sampledBalancers();
    boolean isSampled =
        index * count / scenario.balancers() != (index + 1) * count / scenario.balancers();
    if (!isSampled) {
      return Optional.empty();
    }
    SampledBalancer balancer =
        new SampledBalancer(scenario.settings().sampledListEntries(), context.random().nextLong());
    balancer.load(context.messages().fullList(0));
    samples.add(balancer);
    return Optional.of(balancer);
  }

  /**
   * Runs the model to its end.
   *
   * @param progress receives the completed fraction of the run, from 0 to 1
   */
  public FanOutResult run(DoubleConsumer progress) {
    ChangeGenerator generator =
        new ChangeGenerator(context, plane, new EventWindows(scenario.events()));
    EventRunner events = new EventRunner(context, plane, agents, generator, recorder);
    scenario.events().forEach(events::schedule);
    generator.start(scenario.changesPerSecond(), scenario.durationSeconds());
    double seconds = scenario.durationSeconds() + scenario.settings().drainSeconds();
    for (long second = 1; second <= seconds; second++) {
      context.simulation().run(second * Durations.NANOS_PER_SECOND);
      progress.accept(second / seconds);
    }
    return result(seconds);
  }

  private FanOutResult result(double seconds) {
    long changes = context.log().lastVersion();
    EndpointList finalList = context.messages().fullList(changes).list();
    return new FanOutResult(
        seconds,
        changes,
        changes * scenario.balancers(),
        recorder.recordedChanges(),
        recorder.delays(),
        recorder.catchUps(),
        recorder.traffic(),
        plane.machines().stream().map(ControlMachine::load).toList(),
        context.network().retransmissions(),
        samples.stream().filter(sample -> sample.matches(finalList)).count());
  }
}
