package loadbalancer.scale.model;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.event.EndpointDescriptor;
import loadbalancer.policy.event.EndpointListUpdate;
import loadbalancer.policy.event.EndpointStatus;
import loadbalancer.policy.event.RequestArrived;
import loadbalancer.scale.config.ColdSettings;

/**
 * The upstreams of one service, all balancers before them and the service's traffic. Balancers and
 * upstreams are spread evenly over the zones; each request lands at a random balancer of a random
 * zone. Balancers share nothing but the upstreams.
 */
public final class ServiceFleet {

  private final Simulation simulation;
  private final ColdSettings settings;
  private final SplittableRandom random;
  private final List<String> zones;
  private final List<HollowBalancer> balancers = new ArrayList<>();
  private final List<HollowUpstream> upstreams = new ArrayList<>();
  private final List<EndpointStatus> statuses = new ArrayList<>();
  private final RequestArrivals arrivals;
  private final long deadlineNanos;
  private long arrivedRequests;

  /** The connection of a balancer to this fleet. */
  private final class Environment implements BalancerEnvironment {
    private final LongSupplier processorClockNanos;

    Environment(LongSupplier processorClockNanos) {
      this.processorClockNanos = processorClockNanos;
    }

    @Override
    public List<EndpointDescriptor> endpointList() {
      return ServiceFleet.this.endpointList();
    }

    @Override
    public UpstreamResponse sendAttempt(long endpointId) {
      return upstreams.get((int) endpointId).attemptArrives(simulation.nowNanos());
    }

    @Override
    public LongSupplier processorClockNanos() {
      return processorClockNanos;
    }
  }

  /**
   * Creates a fleet of warm upstreams and of balancers that know them.
   *
   * @param balancerCount the number of balancers
   * @param seed determines everything that is random in the fleet
   * @param processorClockNanos measures the processor time of the policies
   * @param observer observes the requests and attempts of all balancers
   */
  public ServiceFleet(
      ColdSettings settings,
      int balancerCount,
      long seed,
      LongSupplier processorClockNanos,
      BalancerObserver observer) {
    this.settings = settings;
    simulation = new Simulation();
    random = new SplittableRandom(seed);
    zones = PolicySettingsFactory.zoneNames(settings.balancers().zones());
    deadlineNanos = Durations.millisToNanos(settings.balancers().deadlineMs());
    createUpstreams();
    createBalancers(balancerCount, new Environment(processorClockNanos), observer);
    arrivals =
        new RequestArrivals(
            simulation,
            settings.arrivals(),
            settings.upstreams().count(),
            random.nextLong(),
            this::requestArrives);
    arrivals.start();
  }

  private void createUpstreams() {
    for (int i = 0; i < settings.upstreams().count(); i++) {
      upstreams.add(new HollowUpstream(settings.upstreams(), i, zone(i), random.nextLong()));
      statuses.add(EndpointStatus.READY);
    }
  }

  private void createBalancers(
      int count, BalancerEnvironment environment, BalancerObserver observer) {
    PolicySettingsFactory factory =
        new PolicySettingsFactory(
            settings.balancers(), settings.upstreams(), settings.arrivals(), count);
    EndpointListUpdate list =
        new EndpointListUpdate(EndpointListUpdate.Kind.CACHED, endpointList());
    for (int i = 0; i < count; i++) {
      AdaptiveLoadBalancingPolicy policy =
          new AdaptiveLoadBalancingPolicy(factory.forBalancer(i, zone(i)), random.nextLong());
      HollowBalancer balancer = new HollowBalancer(simulation, policy, environment, observer);
      balancer.endpointsChange(list);
      balancers.add(balancer);
    }
  }

  private String zone(int index) {
    return zones.get(index % zones.size());
  }

  private List<EndpointDescriptor> endpointList() {
    List<EndpointDescriptor> list = new ArrayList<>();
    for (int i = 0; i < upstreams.size(); i++) {
      list.add(upstreams.get(i).descriptor(statuses.get(i)));
    }
    return list;
  }

  private void requestArrives(RequestArrivals.Arrival arrival) {
    RequestArrived request =
        new RequestArrived(
            "request-" + arrivedRequests,
            PolicySettingsFactory.routeName(arrival.route()),
            PolicySettingsFactory.tenantName(arrival.tenant()),
            "key-" + arrival.key(),
            simulation.nowNanos() + deadlineNanos,
            /* workHintNanos= */ 0,
            /* isClientRetry= */ false);
    arrivedRequests++;
    randomBalancer().requestArrives(request);
  }

  private HollowBalancer randomBalancer() {
    int zone = random.nextInt(zones.size());
    int balancersOfZone = (balancers.size() - zone - 1) / zones.size() + 1;
    return balancers.get(zone + zones.size() * random.nextInt(balancersOfZone));
  }

  /**
   * Restarts an upstream now: drains and ends it, and starts it again. Each balancer gets each of
   * the updates of the endpoint list after a random delay.
   *
   * @return the simulated time of the start
   */
  public long restartUpstream(int index) {
    long drainNanos = Durations.millisToNanos(settings.drainMs());
    long downNanos = Durations.millisToNanos(settings.downMs());
    announce(index, EndpointStatus.DRAINING);
    simulation.schedule(
        drainNanos,
        () -> {
          upstreams.get(index).stop();
          announce(index, EndpointStatus.REMOVED);
        });
    simulation.schedule(
        drainNanos + downNanos,
        () -> {
          upstreams.get(index).start(simulation.nowNanos());
          announce(index, EndpointStatus.READY);
        });
    return simulation.nowNanos() + drainNanos + downNanos;
  }

  private void announce(int index, EndpointStatus status) {
    statuses.set(index, status);
    EndpointListUpdate update =
        new EndpointListUpdate(
            EndpointListUpdate.Kind.DELTA, List.of(upstreams.get(index).descriptor(status)));
    long spreadNanos = Durations.millisToNanos(settings.notificationSpreadMs());
    for (HollowBalancer balancer : balancers) {
      simulation.schedule(random.nextLong(spreadNanos + 1), () -> balancer.endpointsChange(update));
    }
  }

  /** Runs the fleet until a simulated time. */
  public void run(long untilNanos) {
    simulation.run(untilNanos);
  }

  /** The present simulated time. */
  public long nowNanos() {
    return simulation.nowNanos();
  }

  /** The upstream with this index. */
  public HollowUpstream upstream(int index) {
    return upstreams.get(index);
  }

  /** The number of requests that have arrived. */
  public long arrivedRequests() {
    return arrivedRequests;
  }

  /** The number of requests that have not ended or have an attempt in flight. */
  public long pendingRequests() {
    return balancers.stream().mapToLong(HollowBalancer::pendingRequests).sum();
  }

  /** Ends the arrival of requests. */
  public void stopArrivals() {
    arrivals.stop();
  }

  /** The processor time that the policies have used for requests, attempts and timers. */
  public long requestProcessorNanos() {
    return balancers.stream().mapToLong(HollowBalancer::requestProcessorNanos).sum();
  }

  /** The processor time that the policies have used for updates of the endpoint list. */
  public long updateProcessorNanos() {
    return balancers.stream().mapToLong(HollowBalancer::updateProcessorNanos).sum();
  }
}
