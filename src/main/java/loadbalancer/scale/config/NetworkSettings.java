package loadbalancer.scale.config;

/**
 * The network of the fan-out model; all values are assumptions. The delay of a message is
 * log-normal, with the median of its distance and a common spread.
 *
 * @param zoneDelayMs the median one-way delay within a zone
 * @param regionDelayMs the median one-way delay between zones of one region
 * @param interRegionDelayMs the median one-way delay between regions
 * @param delaySigma the standard deviation of the delay's logarithm
 * @param packetLossFraction the fraction of packets that are lost
 * @param retransmissionTimeoutMs the time to the first retransmission; doubles with each further
 * @param packetPayloadBytes the largest payload of a packet
 * @param packetOverheadBytes the headers of a packet
 */
public record NetworkSettings(
    double zoneDelayMs,
    double regionDelayMs,
    double interRegionDelayMs,
    double delaySigma,
    double packetLossFraction,
    double retransmissionTimeoutMs,
    int packetPayloadBytes,
    int packetOverheadBytes) {

  private static final double MAX_LOSS_FRACTION = 0.5;

  /** Checks the ranges of the settings. */
  public NetworkSettings {
    FieldCheck.aboveZero("zone-delay-ms", zoneDelayMs);
    FieldCheck.aboveZero("region-delay-ms", regionDelayMs);
    FieldCheck.aboveZero("inter-region-delay-ms", interRegionDelayMs);
    FieldCheck.atLeast("delay-sigma", 0, delaySigma);
    FieldCheck.inRange("packet-loss-fraction", 0, MAX_LOSS_FRACTION, packetLossFraction);
    FieldCheck.aboveZero("retransmission-timeout-ms", retransmissionTimeoutMs);
    FieldCheck.aboveZero("packet-payload-bytes", packetPayloadBytes);
    FieldCheck.atLeast("packet-overhead-bytes", 0, packetOverheadBytes);
  }
}
