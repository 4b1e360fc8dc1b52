package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the exit statuses of the command line and its output on both standard streams. */
class CommandLineTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String input, String... args) throws IOException {
    return CommandLine.runAdapter(
        args,
        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private String standardOutput() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String standardError() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Test
  void endOfInputExitsWithStatusZero() throws IOException {
    assertEquals(0, run("{\"clock-ns\":1,\"groups\":[]}\n", "adapter"));
    assertEquals("{\"groups\":[]}\n", standardOutput());
    assertEquals("", standardError());
  }

  @Test
  void malformedInputPrintsOneErrorLineAndExitsWithStatusOne() throws IOException {
    assertEquals(1, run("{\"clock-ns\":1,\"groups\":[]}\n{\"clock-ns\":\n{}\n", "adapter"));
    assertEquals("{\"groups\":[]}\n", standardOutput(), "no reply to the malformed line");
    assertEquals(1, standardError().lines().count(), standardError());
    assertTrue(standardError().startsWith("line 2: not JSON"), standardError());
  }

  @Test
  void invalidCommandLinePrintsUsageAndExitsWithStatusTwo() throws IOException {
    assertEquals(2, run(""));
    assertEquals(2, run("", "proxy"));
    assertEquals(2, run("", "adapter", "more"));
    assertEquals("", standardOutput());
    assertTrue(standardError().startsWith("usage: "), standardError());
  }
}
