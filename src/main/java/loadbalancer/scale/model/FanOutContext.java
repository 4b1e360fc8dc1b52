package loadbalancer.scale.model;

import java.util.SplittableRandom;
import loadbalancer.scale.config.ChangeSettings;

/**
 * What the parts of the fan-out model share.
 *
 * @param settings the settings of the experiment
 * @param simulation the simulated time
 * @param network the network
 * @param log the committed changes
 * @param messages formats messages about them
 * @param random decides backoff and the choice of control machines
 */
record FanOutContext(
    ChangeSettings settings,
    Simulation simulation,
    NetworkModel network,
    ChangeLog log,
    MessageFactory messages,
    SplittableRandom random) {

  /** Creates the parts for a model that starts now; {@code seed} determines all its randomness. */
  static FanOutContext create(ChangeSettings settings, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ChangeLog log = new ChangeLog(settings.listEntries());
    return new FanOutContext(
        settings,
        new Simulation(),
        new NetworkModel(settings.network(), random.nextLong()),
        log,
        new MessageFactory(log),
        random.split());
  }

  /** Creates the client of a watcher. */
  WatchClient clientOf(Watcher watcher) {
    return new WatchClient(watcher, simulation, network, settings.agent(), random.split());
  }
}
