package loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.config.JsonObjectReader;
import loadbalancer.config.PolicySettingsReader;
import loadbalancer.config.WireFormatException;
import loadbalancer.policy.AdaptiveLoadBalancingPolicy;
import loadbalancer.policy.LoadBalancingPolicy;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.event.Event;

/**
 * A session with the simulator: reads batches of events, one JSON object a line, and answers each
 * with one line of actions. Holds one policy for each balancer; they share nothing but the batch's
 * clock. Runs in the thread that calls {@link #run}.
 */
public final class SimulatorSession {

  private static final int BUFFER_BYTES = 1 << 16;

  private final JsonFactory json = new JsonFactory();
  private final BufferedReader batches;
  private final OutputStream replies;
  private final Map<Long, LoadBalancingPolicy> policyByBalancer = new HashMap<>();

  /**
   * Makes a session that has read nothing yet; it closes neither stream.
   *
   * @param batches where the simulator's batches come from, in UTF-8
   * @param replies where the replies go, in UTF-8; flushed after each
   */
  public SimulatorSession(InputStream batches, OutputStream replies) {
    this.batches =
        new BufferedReader(new InputStreamReader(batches, StandardCharsets.UTF_8), BUFFER_BYTES);
    this.replies = replies;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws WireFormatException if a batch is malformed, with its line number; nothing is written
   *     in answer to it
   * @throws IOException if a stream fails
   */
  public void run() throws IOException {
    long lineNumber = 0;
    ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_BYTES);
    for (String line = batches.readLine(); line != null; line = batches.readLine()) {
      lineNumber++;
      reply.reset();
      try (JsonGenerator out = json.createGenerator(reply)) {
        answerBatch(JsonObjectReader.parse("batch", line), out);
      } catch (JsonProcessingException e) {
        throw new WireFormatException(
            "line " + lineNumber + ": not JSON: " + e.getOriginalMessage());
      } catch (WireFormatException | IllegalArgumentException e) {
        throw new WireFormatException("line " + lineNumber + ": " + e.getMessage());
      }
      reply.write('\n');
      reply.writeTo(replies);
      replies.flush();
    }
  }

  private void answerBatch(JsonObjectReader batch, JsonGenerator out) throws IOException {
    long nowNanos = batch.integer("clock-ns");
    out.writeStartObject();
    out.writeArrayFieldStart("groups");
    for (JsonObjectReader group : batch.objects("groups")) {
      answerGroup(nowNanos, group, out);
    }
    out.writeEndArray();
    out.writeEndObject();
  }

  /** Answers the messages of one balancer in a batch. */
  private void answerGroup(long nowNanos, JsonObjectReader group, JsonGenerator out)
      throws IOException {
    long balancer = group.integer("balancer");
    out.writeStartObject();
    out.writeNumberField("balancer", balancer);
    out.writeArrayFieldStart("actions");
    for (JsonObjectReader message : group.objects("msgs")) {
      handleMessage(nowNanos, balancer, message, out);
    }
    out.writeEndArray();
    out.writeEndObject();
  }

  private void handleMessage(
      long nowNanos, long balancer, JsonObjectReader message, JsonGenerator out)
      throws IOException {
    String name = messageName(message);
    JsonObjectReader fields = message.object(name);
    if (name.equals("Provision")) {
      policyByBalancer.put(balancer, provision(fields));
      return;
    }
    LoadBalancingPolicy policy = policyByBalancer.get(balancer);
    if (policy == null) {
      throw new WireFormatException(
          "field " + fields.path() + ": balancer " + balancer + " was never provisioned");
    }
    if (name.equals("Kill")) {
      policyByBalancer.remove(balancer);
      return;
    }
    handleEvent(policy, nowNanos, EventDecoder.decode(name, fields), out);
  }

  private static String messageName(JsonObjectReader message) {
    if (message.fieldNames().size() != 1) {
      throw new WireFormatException(
          "field " + message.path() + ": expected one event, got " + message.fieldNames().size());
    }
    return message.fieldNames().iterator().next();
  }

  private static LoadBalancingPolicy provision(JsonObjectReader fields) {
    return new AdaptiveLoadBalancingPolicy(
        PolicySettingsReader.read(fields.object("boot-info")), fields.integer("seed"));
  }

  /** Writes the policy's actions, or the fault message where it throws: that is a defect of it. */
  private static void handleEvent(
      LoadBalancingPolicy policy, long nowNanos, Event event, JsonGenerator out)
      throws IOException {
    try {
      policy.handle(nowNanos, event, action -> writeAction(out, action));
    } catch (RuntimeException e) {
      ActionEncoder.writeFault(out, e);
    }
  }

  private static void writeAction(JsonGenerator out, Action action) {
    try {
      ActionEncoder.write(out, action);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
