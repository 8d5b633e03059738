import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;

/**
 * A link on which bytes can be held up. What is held is delivered later, also after its sender has
 * closed the connection or was killed; it is lost if the sender resets the connection.
 */
final class HoldingLink {

  private final ServerSocket listener = new ServerSocket();
  private final InetSocketAddress target;
  private volatile long holdMillis;
  private volatile Runnable onHeld = () -> {};

  HoldingLink(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    target =
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(colon + 1)));
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    Daemon.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Holds each request for a time; the action runs when bytes begin to be held. */
  void hold(long millis, Runnable action) {
    onHeld = action;
    holdMillis = millis;
  }

  private void accept() {
    try {
      while (true) {
        Socket from = listener.accept();
        Daemon.start(() -> forward(from));
      }
    } catch (IOException e) {
      return;
    }
  }

  private void forward(Socket from) {
    try (from;
        Socket to = new Socket()) {
      to.connect(target);
      Daemon.start(() -> answer(to, from));
      InputStream in = from.getInputStream();
      byte[] buffer = new byte[1 << 16];
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        long hold = holdMillis;
        if (hold > 0) {
          onHeld.run();
          if (isResetWithin(in, hold)) {
            return;
          }
        }
        to.getOutputStream().write(Arrays.copyOf(buffer, n));
        to.getOutputStream().flush();
        if (hold > 0) {
          Thread.sleep(500);
          return;
        }
      }
    } catch (IOException e) {
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits, and returns whether the sender reset the connection meanwhile. */
  private static boolean isResetWithin(InputStream in, long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    boolean ended = false;
    while (System.nanoTime() < end) {
      try {
        ended = ended || in.read() < 0;
      } catch (IOException e) {
        return true;
      }
      Thread.sleep(10);
    }
    return false;
  }

  private static void answer(Socket to, Socket from) {
    try {
      to.getInputStream().transferTo(from.getOutputStream());
    } catch (IOException e) {
      return;
    }
  }
}
