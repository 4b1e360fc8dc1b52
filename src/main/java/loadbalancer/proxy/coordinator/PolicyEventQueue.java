package loadbalancer.proxy.coordinator;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import loadbalancer.policy.event.Event;
import loadbalancer.policy.event.RequestArrived;

/**
 * Passes events to the policy one at a time. Carrying out an action may raise another event
 * immediately; it is queued until the current event has been handled, so that the policy is never
 * called from within its own call. Confined to the event loop thread.
 */
final class PolicyEventQueue {

  private final Consumer<Event> eventHandler;
  private final Runnable queueEmptyCallback;
  private final Consumer<RuntimeException> defectHandler;
  private final Queue<Event> pendingEvents = new ArrayDeque<>();
  private boolean isHandlingEvents;
  private boolean isLatestEventArrival;

  /**
   * Creates an empty queue.
   *
   * @param eventHandler passes an event to the policy, which hands over its actions
   * @param queueEmptyCallback called each time all queued events have been handled
   * @param defectHandler called with an exception from one of the other two; events that are queued
   *     then are handled with the next notification
   */
  PolicyEventQueue(
      Consumer<Event> eventHandler,
      Runnable queueEmptyCallback,
      Consumer<RuntimeException> defectHandler) {
    this.eventHandler = eventHandler;
    this.queueEmptyCallback = queueEmptyCallback;
    this.defectHandler = defectHandler;
  }

  /** Notifies the policy of an event, after the events that are queued already. */
  void notifyPolicy(Event event) {
    pendingEvents.add(event);
    if (isHandlingEvents) {
      return;
    }
    isHandlingEvents = true;
    try {
      handlePendingEvents();
      queueEmptyCallback.run();
    } catch (RuntimeException e) {
      defectHandler.accept(e);
    } finally {
      isHandlingEvents = false;
    }
  }

  private void handlePendingEvents() {
    Event event = pendingEvents.poll();
    while (event != null) {
      isLatestEventArrival = event instanceof RequestArrived;
      eventHandler.accept(event);
      event = pendingEvents.poll();
    }
  }

  /**
   * Whether the event being handled, or else the event handled last, is the arrival of a request.
   */
  boolean isLatestEventArrival() {
    return isLatestEventArrival;
  }
}
