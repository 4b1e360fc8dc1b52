package loadbalancer.scale.report;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;

/**
 * The JVM that a run used.
 *
 * @param javaVersion the version of the Java runtime
 * @param jvmFlags the flags that the JVM was started with
 * @param garbageCollectors the names of the garbage collectors
 * @param maxHeapBytes the largest heap that the JVM may use
 * @param processors the number of processors available to the JVM
 */
public record JvmEnvironment(
    String javaVersion,
    List<String> jvmFlags,
    List<String> garbageCollectors,
    long maxHeapBytes,
    int processors) {

  /** Describes the JVM that runs this code. */
  public static JvmEnvironment current() {
    Runtime runtime = Runtime.getRuntime();
    return new JvmEnvironment(
        Runtime.version().toString(),
        ManagementFactory.getRuntimeMXBean().getInputArguments(),
        ManagementFactory.getGarbageCollectorMXBeans().stream()
            .map(GarbageCollectorMXBean::getName)
            .toList(),
        runtime.maxMemory(),
        runtime.availableProcessors());
  }
}
