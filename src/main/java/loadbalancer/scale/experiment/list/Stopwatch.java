package loadbalancer.scale.experiment.list;

/** Measures elapsed time. */
final class Stopwatch {

  private Stopwatch() {}

  /** Runs a task and returns the time that it took. */
  static long nanos(Runnable task) {
    long startNanos = System.nanoTime();
    task.run();
    return System.nanoTime() - startNanos;
  }
}
