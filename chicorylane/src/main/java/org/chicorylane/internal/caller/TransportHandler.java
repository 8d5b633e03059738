package org.chicorylane.internal.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.jspecify.annotations.Nullable;

/**
 * Stands next to the socket: notes that bytes came and closes the connection without the farewells
 * of the protocols above.
 */
final class TransportHandler extends ChannelInboundHandlerAdapter {
  private @Nullable Runnable bytesListener;
  private @Nullable ChannelHandlerContext context;

  /** Sets what runs when bytes come. */
  void setBytesListener(Runnable action) {
    bytesListener = action;
  }

  /** Closes the socket now. */
  void closeNow() {
    if (context != null) {
      context.close();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (bytesListener != null) {
      bytesListener.run();
    }
    ctx.fireChannelRead(message);
  }
}
