package org.chicorylane.standin.database;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The network between a server and one client connection, which can be held or silenced.
 *
 * <p>A held link delivers nothing until it is released and loses nothing, as TCP behaves across a
 * healed partition. A silenced link drops all traffic for good, ends of the connection included.
 *
 * <p>Thread-safe.
 */
final class Link {

  private final Channel channel;
  private final Queue<ByteBuf> held = new ArrayDeque<>();
  private boolean onHold;
  private boolean silenced;
  private boolean closeAfterRelease;

  Link(Channel channel) {
    this.channel = channel;
  }

  /** Sends {@code message}, or keeps or drops it as the link's state demands. */
  synchronized void send(ByteBuf message) {
    if (silenced) {
      message.release();
    } else if (onHold) {
      held.add(message);
    } else {
      channel.writeAndFlush(message, channel.voidPromise());
    }
  }

  /** Closes the connection after what has been sent; the client of a silenced link sees nothing. */
  synchronized void close() {
    if (silenced) {
      return;
    }
    if (onHold) {
      closeAfterRelease = true;
      return;
    }
    if (!channel.isOpen()) {
      return;
    }
    channel.writeAndFlush(channel.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
  }

  /** Resets the connection at once, unless the link is silenced. */
  synchronized void reset() {
    if (silenced) {
      return;
    }
    dropHeld();
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      // The client closed first; there is nothing left to reset.
    }
    channel.close();
  }

  /** Stops delivery in both directions until {@link #release}. */
  synchronized void hold() {
    onHold = true;
    channel.config().setAutoRead(false);
  }

  /** Delivers again, first what was held. */
  synchronized void release() {
    onHold = false;
    if (!silenced) {
      held.forEach(channel::writeAndFlush);
      held.clear();
    }
    if (closeAfterRelease) {
      close();
    }
    channel.config().setAutoRead(true);
  }

  /** Drops all traffic from now on. */
  synchronized void silence() {
    silenced = true;
    dropHeld();
  }

  synchronized boolean silenced() {
    return silenced;
  }

  private void dropHeld() {
    held.forEach(ByteBuf::release);
    held.clear();
  }
}
