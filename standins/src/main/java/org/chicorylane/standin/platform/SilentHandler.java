package org.chicorylane.standin.platform;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/** Drops all that a connection receives and sends, as if its other end had been lost track of. */
final class SilentHandler extends ChannelDuplexHandler {

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    ReferenceCountUtil.release(message);
    promise.setSuccess();
  }
}
