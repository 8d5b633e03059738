package org.chicorylane.internal.runtime;

import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Short keep-alive probes, which find connections that went silent. */
public final class KeepAlive {

  /** Quiet seconds before the first probe, and seconds between probes. */
  private static final int SECONDS = 1;

  /** Unanswered probes that end the connection. */
  private static final int PROBES = 3;

  private KeepAlive() {}

  /** Turns the probes on. */
  public static void enable(SocketChannel channel) {
    channel.config().setKeepAlive(true);
    channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), SECONDS);
    channel
        .config()
        .setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), SECONDS);
    channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
  }
}
