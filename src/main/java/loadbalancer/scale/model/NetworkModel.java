package loadbalancer.scale.model;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.scale.config.NetworkSettings;

/**
 * The network between machines: the delay of each message, with retransmissions of lost packets,
 * and regions that are cut off from the others.
 */
public final class NetworkModel {

  private static final int MAX_RETRANSMISSIONS = 10;

  private final NetworkSettings settings;
  private final SplittableRandom random;
  private final Set<Integer> cutRegions = new HashSet<>();
  private long retransmissions;

  /** Creates a network without cuts; {@code seed} determines delays and losses. */
  public NetworkModel(NetworkSettings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
  }

  /** Cuts a region off from all others, or connects it again. */
  public void setCut(int region, boolean cut) {
    if (cut) {
      cutRegions.add(region);
    } else {
      cutRegions.remove(region);
    }
  }

  /** Whether messages get from one machine to the other. */
  public boolean isReachable(Location from, Location to) {
    return from.region() == to.region()
        || (!cutRegions.contains(from.region()) && !cutRegions.contains(to.region()));
  }

  /** The bytes that a message takes on the network, with the headers of its packets. */
  public long wireBytes(long payloadBytes) {
    return payloadBytes + packets(payloadBytes) * settings.packetOverheadBytes();
  }

  /** The random one-way delay of a message, including the retransmission of lost packets. */
  public long delayNanos(Location from, Location to, long payloadBytes) {
    double spread = Math.exp(settings.delaySigma() * random.nextGaussian());
    return Durations.millisToNanos(medianMillis(from, to) * spread)
        + retransmissionNanos(payloadBytes);
  }

  /** The number of retransmissions so far. */
  public long retransmissions() {
    return retransmissions;
  }

  private long packets(long payloadBytes) {
    return Math.max(
        1, (payloadBytes + settings.packetPayloadBytes() - 1) / settings.packetPayloadBytes());
  }

  private double medianMillis(Location from, Location to) {
    if (from.region() != to.region()) {
      return settings.interRegionDelayMs();
    }
    return from.zone() == to.zone() ? settings.zoneDelayMs() : settings.regionDelayMs();
  }

  private long retransmissionNanos(long payloadBytes) {
    double loss = settings.packetLossFraction();
    double lossOfAnyPacket = 1 - Math.pow(1 - loss, (double) packets(payloadBytes));
    if (random.nextDouble() >= lossOfAnyPacket) {
      return 0;
    }
    long timeoutNanos = Durations.millisToNanos(settings.retransmissionTimeoutMs());
    long waitNanos = timeoutNanos;
    int attempts = 1;
    while (attempts < MAX_RETRANSMISSIONS && random.nextDouble() < loss) {
      timeoutNanos *= 2;
      waitNanos += timeoutNanos;
      attempts++;
    }
    retransmissions += attempts;
    return waitNanos;
  }
}
