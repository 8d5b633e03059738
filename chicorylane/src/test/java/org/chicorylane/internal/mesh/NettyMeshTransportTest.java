package org.chicorylane.internal.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshPing;
import org.chicorylane.internal.runtime.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests connections with errors on them. Guards against one malformed frame that ends more than the
 * connection it came over, and against one that leaves no trace.
 */
final class NettyMeshTransportTest {

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<MeshFrame> frames = new LinkedBlockingQueue<>();
  private int port;

  /** Log that keeps the events' names. */
  private DecisionLog.Line line(DecisionLog.Priority priority, String event) {
    events.add(event);
    return DecisionLog.none().event(priority, event);
  }

  @BeforeEach
  void listen() throws InterruptedException {
    NettyMeshTransport.MeshAcceptor acceptor =
        new NettyMeshTransport.MeshAcceptor() {
          @Override
          public void onFrame(MeshChannel channel, MeshFrame frame) {
            if (frame.getPing().getSequence() == 0) {
              throw new IllegalArgumentException("no sequence");
            }
            frames.add(frame);
          }

          @Override
          public void onClosed(MeshChannel channel) {}
        };
    Channel listening = new NettyMeshTransport(group, this::line).listen("127.0.0.1:0", acceptor);
    port = ((InetSocketAddress) listening.localAddress()).getPort();
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Socket open() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void sendPing(Socket socket, long sequence) throws IOException {
    MeshFrame.newBuilder()
        .setPing(MeshPing.newBuilder().setSequence(sequence).setConfigurationVersion(1))
        .build()
        .writeDelimitedTo(socket.getOutputStream());
  }

  @Test
  void testUnreadableFrameEndsItsConnectionOnly() throws Exception {
    try (Socket sound = open();
        Socket bad = open()) {
      sendPing(sound, 7);
      assertThat(frames.poll(10, TimeUnit.SECONDS)).isNotNull();
      bad.getOutputStream().write(new byte[] {3, (byte) 0xff, (byte) 0xff, (byte) 0xff});
      assertThat(bad.getInputStream().read()).isEqualTo(-1);
      assertThat(events.poll(10, TimeUnit.SECONDS)).isEqualTo("instance-connection-failed");
      sendPing(sound, 8);
      assertThat(frames.poll(10, TimeUnit.SECONDS).getPing().getSequence()).isEqualTo(8);
    }
  }

  @Test
  void testErrorInTheHandlingOfFrameEndsItsConnectionOnly() throws Exception {
    try (Socket sound = open();
        Socket bad = open()) {
      sendPing(bad, 0);
      assertThat(bad.getInputStream().read()).isEqualTo(-1);
      assertThat(events.poll(10, TimeUnit.SECONDS)).isEqualTo("instance-connection-failed");
      sendPing(sound, 8);
      assertThat(frames.poll(10, TimeUnit.SECONDS)).isNotNull();
    }
  }
}
