package org.chicorylane.internal.runtime;

import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Enables TCP keep-alive with short intervals, to detect connections that stopped responding. */
public final class KeepAlive {

  /** Idle seconds before the first probe, and seconds between probes. */
  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Number of unanswered probes after which the connection is closed. */
  private static final int MAXIMUM_UNANSWERED_PROBES = 3;

  private KeepAlive() {}

  /** Enables the probes on a channel. */
  public static void enable(SocketChannel channel) {
    channel.config().setKeepAlive(true);
    channel
        .config()
        .setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_INTERVAL_SECONDS);
    channel
        .config()
        .setOption(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_SECONDS);
    channel
        .config()
        .setOption(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAXIMUM_UNANSWERED_PROBES);
  }
}
