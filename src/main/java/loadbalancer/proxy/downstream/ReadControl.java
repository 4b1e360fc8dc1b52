package loadbalancer.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Decides when the event loop reads from one connection and decodes what it has read. Not
 * thread-safe: for use on the event loop.
 */
final class ReadControl {

  /** Limits the rate at which a client can repeat an invalid request. */
  private static final long PENALTY_MILLIS = 500;

  /** The pause between two turns of decoding what was received together. */
  private static final long NEXT_TURN_DELAY_MILLIS = 1;

  private final Channel channel;
  private final RequestDecoder decoder;
  private final Supplier<ConnectionState> state;
  private int pauses;

  /** Creates the control of a connection, whose pipeline contains a {@link RequestDecoder}. */
  ReadControl(ChannelHandlerContext context, Supplier<ConnectionState> state) {
    this.state = state;
    channel = context.channel();
    decoder = context.pipeline().get(RequestDecoder.class);
    decoder.setTurnListener(this::decodingTurnEnded);
  }

  /**
   * Enables reading while a request may be received. While a request is in flight, the connection
   * is always read, because a client's disconnect is detected only by reading.
   */
  void update() {
    channel.config().setAutoRead(state.get().hasRequestInFlight() || mayReceive());
  }

  private boolean mayReceive() {
    return state.get() == ConnectionState.AWAITING_REQUEST && pauses == 0 && channel.isWritable();
  }

  /**
   * Ends the connection's turn of decoding, if more bytes have been received. Otherwise a client
   * that sends small requests or chunks at full speed would occupy the event loop with hundreds of
   * them in each turn.
   */
  void endTurn() {
    if (decoder.hasUndecodedBytes()) {
      decoder.pause();
      pause(NEXT_TURN_DELAY_MILLIS);
    }
  }

  private void decodingTurnEnded() {
    endTurn();
    update();
  }

  /**
   * Pauses reading after an invalid request, from the next {@link #update} on. The connection stays
   * open, because the client could reconnect immediately if it were closed.
   */
  void startPenalty() {
    pause(PENALTY_MILLIS);
  }

  private void pause(long millis) {
    pauses++;
    channel.eventLoop().schedule(this::endPause, millis, TimeUnit.MILLISECONDS);
  }

  private void endPause() {
    pauses--;
    resume();
  }

  /** Decodes the next request if it has been received already, and reads again where possible. */
  void resume() {
    if (mayReceive() && channel.isActive()) {
      decoder.resume();
    }
    update();
  }
}
