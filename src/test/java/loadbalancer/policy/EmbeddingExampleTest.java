package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import loadbalancer.policy.action.Action;
import loadbalancer.policy.action.ForwardAttempt;
import loadbalancer.policy.action.SetTimer;
import org.junit.jupiter.api.Test;

/** Tests that the policy in {@link EmbeddingExample} returns the expected actions. */
class EmbeddingExampleTest {

  @Test
  void firstRequestIsForwardedAndTimerIsSet() {
    List<Action> actions = EmbeddingExample.firstRequest();
    ForwardAttempt forward = assertInstanceOf(ForwardAttempt.class, actions.get(0));
    assertEquals("r1", forward.requestId());
    assertInstanceOf(SetTimer.class, actions.get(1));
    assertEquals(2, actions.size());
  }
}
