package org.chicorylane.standin.metadata;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Forwards connections on a loopback port to an HTTP server, and sends a share of the server's
 * responses twice: byte-identical, whole, and at once or late. The HTTP server of the JDK cannot do
 * that itself. The responses must have a {@code Content-Length}.
 */
final class ResponseRelay implements AutoCloseable {

  private static final int BACKLOG = 64;
  private static final int BUFFER_BYTES = 8_192;
  private static final String LENGTH_HEADER = "content-length:";
  private static final String HEAD_END = "\r\n\r\n";

  private final InetSocketAddress target;
  private final Random random;
  private final ServerSocket listener;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private double copyShare;
  private int maxDelayMillis;
  private long copies;

  /**
   * Starts to listen.
   *
   * @param target the server to which connections are forwarded
   * @param seed determines which responses are sent twice
   */
  ResponseRelay(InetSocketAddress target, long seed) throws IOException {
    this.target = target;
    this.random = new Random(seed);
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    executor.execute(this::accept);
  }

  /** Returns host and port, separated by a colon. */
  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Sends a share of the responses twice, half of the copies at once and half of them late. */
  synchronized void copy(double share, int newMaxDelayMillis) {
    copyShare = share;
    maxDelayMillis = newMaxDelayMillis;
  }

  /** Returns the number of responses that were drawn to be sent twice. */
  synchronized long copies() {
    return copies;
  }

  /** Draws the delay of a copy in milliseconds; -1 if there is none. */
  private synchronized int drawDelay() {
    if (random.nextDouble() >= copyShare) {
      return -1;
    }
    copies++;
    return random.nextBoolean() ? 0 : random.nextInt(maxDelayMillis + 1);
  }

  private void accept() {
    try {
      while (true) {
        Socket client = listener.accept();
        client.setTcpNoDelay(true);
        sockets.add(client);
        executor.execute(() -> serve(client));
      }
    } catch (IOException e) {
      // close() closed the listener, so no connection follows.
      return;
    }
  }

  private void serve(Socket client) {
    try (client;
        Socket server = new Socket(target.getAddress(), target.getPort())) {
      server.setTcpNoDelay(true);
      sockets.add(server);
      executor.execute(() -> forwardRequests(client, server));
      InputStream in = new BufferedInputStream(server.getInputStream());
      OutputStream out = client.getOutputStream();
      for (byte[] r = readResponse(in); r != null; r = readResponse(in)) {
        send(out, r);
      }
    } catch (IOException e) {
      // One side disconnected; try-with-resources ends the other side.
      return;
    } finally {
      sockets.remove(client);
      sockets.removeIf(Socket::isClosed);
    }
  }

  private static void forwardRequests(Socket client, Socket server) {
    try (client;
        server) {
      byte[] buffer = new byte[BUFFER_BYTES];
      InputStream in = client.getInputStream();
      OutputStream out = server.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        out.write(buffer, 0, n);
        out.flush();
      }
    } catch (IOException e) {
      // One side disconnected; try-with-resources ends the other side.
      return;
    }
  }

  /** Reads a whole response; returns null if the connection ends before that. */
  private static byte @Nullable [] readResponse(InputStream in) throws IOException {
    ByteArrayOutputStream response = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < HEAD_END.length()) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      response.write(b);
      matched = b == HEAD_END.charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
    }
    int length = contentLength(response.toString(StandardCharsets.ISO_8859_1));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      return null;
    }
    response.write(body);
    return response.toByteArray();
  }

  private static int contentLength(String head) throws IOException {
    for (String line : head.split("\r\n", -1)) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH_HEADER)) {
        return Integer.parseInt(line.substring(LENGTH_HEADER.length()).trim());
      }
    }
    throw new IOException("a response without Content-Length cannot be relayed: " + head);
  }

  private void send(OutputStream out, byte[] response) throws IOException {
    int delayMillis = drawDelay();
    write(out, response);
    if (delayMillis == 0) {
      write(out, response);
    } else if (delayMillis > 0) {
      timer.schedule(() -> writeLate(out, response), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private static void writeLate(OutputStream out, byte[] response) {
    try {
      write(out, response);
    } catch (IOException e) {
      // The connection has ended; its threads notice that too.
      return;
    }
  }

  private static void write(OutputStream out, byte[] response) throws IOException {
    synchronized (out) {
      out.write(response);
      out.flush();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    executor.shutdownNow();
    timer.shutdownNow();
  }
}
