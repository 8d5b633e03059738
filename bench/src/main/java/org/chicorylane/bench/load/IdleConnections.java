package org.chicorylane.bench.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Idle keep-alive connections that have sent one request each. Not thread-safe. */
final class IdleConnections implements AutoCloseable {
  private static final byte[] REQUEST =
      "GET /none HTTP/1.1\r\nHost: bench\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final int ANSWER_BYTES = 4_096;

  private final List<SocketChannel> channels = new ArrayList<>();

  /** Opens connections until {@code count} are open. */
  void growTo(InetSocketAddress address, int count) throws IOException {
    ByteBuffer answer = ByteBuffer.allocateDirect(ANSWER_BYTES);
    while (channels.size() < count) {
      SocketChannel channel = SocketChannel.open(address);
      channel.write(ByteBuffer.wrap(REQUEST));
      answer.clear();
      if (channel.read(answer) < 0) {
        throw new IOException("connection " + channels.size() + " was closed without an answer");
      }
      channels.add(channel);
    }
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel channel : channels) {
      channel.close();
    }
    channels.clear();
  }
}
