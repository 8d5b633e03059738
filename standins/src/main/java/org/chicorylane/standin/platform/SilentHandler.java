package org.chicorylane.standin.platform;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * Discards everything that a connection receives and sends, as if the other end had become
 * unreachable without closing it. Writes are reported as successful.
 */
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
