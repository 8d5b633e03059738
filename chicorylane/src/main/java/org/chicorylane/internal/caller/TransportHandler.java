package org.chicorylane.internal.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.jspecify.annotations.Nullable;

/**
 * Handler next to the socket. Reports received bytes and closes the connection without the closing
 * handshakes of the protocols above it, such as TLS and HTTP/2.
 */
final class TransportHandler extends ChannelInboundHandlerAdapter {
  private @Nullable Runnable bytesListener;
  private @Nullable ChannelHandlerContext context;

  /** Sets the action that runs whenever bytes are received. */
  void setBytesListener(Runnable action) {
    bytesListener = action;
  }

  /** Closes the socket immediately. */
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
