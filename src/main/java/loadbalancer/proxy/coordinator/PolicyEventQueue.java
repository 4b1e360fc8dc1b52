package loadbalancer.proxy.coordinator;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;

/**
 * Hands events to the policy one at a time: an action may cause an event at once, which waits until
 * the present one has been handled. All state belongs to the event loop.
 */
final class PolicyEventQueue {

  private final Consumer<Event> eventHandler;
  private final Runnable afterEvents;
  private final Consumer<RuntimeException> defectHandler;
  private final Queue<Event> pendingEvents = new ArrayDeque<>();
  private boolean isHandlingEvents;
  private boolean isLatestEventAnArrival;

  /**
   * Makes an empty queue.
   *
   * @param eventHandler has the policy handle an event and carries out its actions
   * @param afterEvents called when no event is left
   * @param defectHandler called with an exception of the handler; later events are still handled
   */
  PolicyEventQueue(
      Consumer<Event> eventHandler,
      Runnable afterEvents,
      Consumer<RuntimeException> defectHandler) {
    this.eventHandler = eventHandler;
    this.afterEvents = afterEvents;
    this.defectHandler = defectHandler;
  }

  /** Notifies the policy of an event, after those that are waiting. */
  void notifyPolicy(Event event) {
    pendingEvents.add(event);
    if (isHandlingEvents) {
      return;
    }
    isHandlingEvents = true;
    try {
      handlePendingEvents();
      afterEvents.run();
    } catch (RuntimeException e) {
      defectHandler.accept(e);
    } finally {
      isHandlingEvents = false;
    }
  }

  private void handlePendingEvents() {
    Event event = pendingEvents.poll();
    while (event != null) {
      isLatestEventAnArrival = event instanceof RequestArrived;
      eventHandler.accept(event);
      event = pendingEvents.poll();
    }
  }

  /** Whether the event that is being handled, or was handled last, is a request's arrival. */
  boolean isLatestEventAnArrival() {
    return isLatestEventAnArrival;
  }
}
