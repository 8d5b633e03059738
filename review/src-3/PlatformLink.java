import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;

/**
 * The link between one machine and the platform's call for promotions. While it is cut, it holds
 * what the machine has sent, as TCP does: the bytes arrive when the cut ends, also if the process
 * that sent them was killed; they are lost if the sender resets the connection.
 */
final class PlatformLink {

  private final ServerSocket listener;
  private final int target;
  private final CaseRecord record;
  private final String name;
  private volatile boolean cut;
  private volatile CountDownLatch healed = new CountDownLatch(0);
  private final CountDownLatch holding = new CountDownLatch(1);

  PlatformLink(String name, int target, CaseRecord record) throws IOException {
    this.name = name;
    this.target = target;
    this.record = record;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void cut() {
    healed = new CountDownLatch(1);
    cut = true;
    record.write("the link of " + name + " to the platform is cut");
  }

  void heal() {
    cut = false;
    healed.countDown();
    record.write("the link of " + name + " to the platform works again");
  }

  /** Returns once the link holds bytes of the machine. */
  boolean awaitHolding(long millis) throws InterruptedException {
    return holding.await(millis, java.util.concurrent.TimeUnit.MILLISECONDS);
  }

  private void accept() {
    try {
      while (true) {
        Socket client = listener.accept();
        daemon(() -> relay(client));
      }
    } catch (IOException e) {
      // The case has ended.
    }
  }

  private void relay(Socket client) {
    try (client;
        Socket server = new Socket(InetAddress.getLoopbackAddress(), target)) {
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      daemon(() -> answer(server, client));
      InputStream in = client.getInputStream();
      OutputStream out = server.getOutputStream();
      byte[] bytes = new byte[8_192];
      for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
        if (cut) {
          record.write("the link of " + name + " holds " + n + " bytes");
          holding.countDown();
          // A reset while the link is cut loses what it holds; an end without one doesn't.
          byte[] next = new byte[1];
          int ended = in.read(next);
          record.write("the sender's connection ended" + (ended < 0 ? "" : " later"));
          healed.await();
          record.write("the link of " + name + " delivers " + n + " bytes");
        }
        out.write(bytes, 0, n);
        out.flush();
      }
      server.shutdownOutput();
      Thread.sleep(1_000);
    } catch (IOException e) {
      if (cut) {
        record.write("the sender reset its connection: what the link held is lost");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answer(Socket server, Socket client) {
    try {
      server.getInputStream().transferTo(client.getOutputStream());
      client.close();
    } catch (IOException e) {
      // The client has gone.
    }
  }

  private static void daemon(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
  }
}
