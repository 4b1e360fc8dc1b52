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
 * A session with the simulator. Reads batches of events, one JSON object per line, and replies to
 * each with one line of actions. Keeps a separate policy for each simulated balancer; the policies
 * share only the time of the batch. Not thread-safe: runs on the thread that calls {@link #run}.
 */
public final class SimulatorSession {

  private static final int BUFFER_BYTES = 1 << 16;

  private final JsonFactory json = new JsonFactory();
  private final BufferedReader input;
  private final OutputStream output;
  private final Map<Long, LoadBalancingPolicy> policyByBalancer = new HashMap<>();

  /**
   * Creates a session, which closes neither stream.
   *
   * @param input the stream of batches, in UTF-8
   * @param output the stream for the replies, in UTF-8; flushed after each reply
   */
  public SimulatorSession(InputStream input, OutputStream output) {
    this.input =
        new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), BUFFER_BYTES);
    this.output = output;
  }

  /**
   * Replies to batches until the input ends.
   *
   * @throws WireFormatException if a batch is malformed; the message starts with the line number,
   *     and nothing of the reply to that batch is written
   * @throws IOException if reading or writing fails
   */
  public void run() throws IOException {
    long lineNumber = 0;
    ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_BYTES);
    for (String line = input.readLine(); line != null; line = input.readLine()) {
      lineNumber++;
      reply.reset();
      try (JsonGenerator out = json.createGenerator(reply)) {
        handleBatch(JsonObjectReader.parse("batch", line), out);
      } catch (JsonProcessingException e) {
        throw new WireFormatException(
            "line " + lineNumber + ": not JSON: " + e.getOriginalMessage());
      } catch (WireFormatException | IllegalArgumentException e) {
        throw new WireFormatException("line " + lineNumber + ": " + e.getMessage());
      }
      reply.write('\n');
      reply.writeTo(output);
      output.flush();
    }
  }

  private void handleBatch(JsonObjectReader batch, JsonGenerator out) throws IOException {
    long nowNanos = batch.integer("clock-ns");
    out.writeStartObject();
    out.writeArrayFieldStart("groups");
    for (JsonObjectReader group : batch.objects("groups")) {
      handleGroup(nowNanos, group, out);
    }
    out.writeEndArray();
    out.writeEndObject();
  }

  /** Handles the messages of one balancer in a batch and writes its actions. */
  private void handleGroup(long nowNanos, JsonObjectReader group, JsonGenerator out)
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
    String type = messageType(message);
    JsonObjectReader fields = message.object(type);
    if (type.equals("Provision")) {
      policyByBalancer.put(balancer, createPolicy(fields));
      return;
    }
    LoadBalancingPolicy policy = policyByBalancer.get(balancer);
    if (policy == null) {
      throw new WireFormatException(
          "field " + fields.path() + ": balancer " + balancer + " is not provisioned");
    }
    if (type.equals("Kill")) {
      policyByBalancer.remove(balancer);
      return;
    }
    handleEvent(policy, nowNanos, EventDecoder.decode(type, fields), out);
  }

  /** Returns the message type: the name of the message's only field. */
  private static String messageType(JsonObjectReader message) {
    if (message.fieldNames().size() != 1) {
      throw new WireFormatException(
          "field "
              + message.path()
              + ": expected exactly one field, got "
              + message.fieldNames().size());
    }
    return message.fieldNames().iterator().next();
  }

  private static LoadBalancingPolicy createPolicy(JsonObjectReader fields) {
    return new AdaptiveLoadBalancingPolicy(
        PolicySettingsReader.read(fields.object("boot-info")), fields.integer("seed"));
  }

  /** Writes the policy's actions, and a fault message if the policy throws, which is a bug. */
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
