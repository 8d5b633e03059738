package org.chicorylane.standin.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A database server for the line protocol, on a loopback port. All servers of a group share one
 * commit counter, so replicas have no replication lag.
 */
public final class StandInWireServer implements AutoCloseable {

  private final String service;
  private final String id;
  private final boolean startsAsPrimary;
  private final AtomicLong commits;
  private final ServerSocket listener;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<String> received = new ArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile boolean primary;
  private volatile long term = 1;

  /** The term with which a replica was stopped from receiving; 0 if it receives. */
  private volatile long pausedTerm;

  private volatile boolean loseNextAnswer;

  /**
   * Starts a server.
   *
   * @param service the name of its database group
   * @param id the server's id, unique in the group
   * @param primary whether it starts as the primary
   * @param commits the commit counter that the group shares
   */
  public StandInWireServer(String service, String id, boolean primary, AtomicLong commits)
      throws IOException {
    this.service = service;
    this.id = id;
    this.startsAsPrimary = primary;
    this.primary = primary;
    this.commits = commits;
    this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    executor.execute(this::accept);
  }

  /** Returns host and port, separated by a colon. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the server's id. */
  public String id() {
    return id;
  }

  /** Returns the name of the server's database group. */
  public String service() {
    return service;
  }

  /** Returns whether the server was the primary when it started. */
  public boolean startsAsPrimary() {
    return startsAsPrimary;
  }

  /** Returns the lines received on all connections so far, in order of arrival. */
  public List<String> received() {
    synchronized (received) {
      return List.copyOf(received);
    }
  }

  /**
   * Waits until {@code line} has been received.
   *
   * @param millis the longest wait, in milliseconds
   * @return whether the line was received in time
   */
  public boolean awaitLine(String line, long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    synchronized (received) {
      while (!received.contains(line)) {
        long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        if (left <= 0) {
          return false;
        }
        received.wait(left);
      }
      return true;
    }
  }

  private void recordLine(String line) {
    synchronized (received) {
      received.add(line);
      received.notifyAll();
    }
  }

  /** Makes this server the primary of {@code newTerm}. */
  public void promote(long newTerm) {
    term = newTerm;
    primary = true;
    pausedTerm = 0;
  }

  /** Makes this server, if it is a replica, follow the primary of {@code newTerm}. */
  public void follow(long newTerm) {
    if (!primary) {
      term = newTerm;
    }
  }

  /**
   * Makes the server close the connection when it receives the next client statement, which it
   * records in {@link #received} but neither runs nor answers. A client statement is one whose
   * request id is not {@code -}.
   */
  public void loseNextAnswer() {
    loseNextAnswer = true;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        sockets.add(socket);
        executor.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // close() closed the listener, so no connection follows.
      return;
    }
  }

  private void serve(Socket socket) {
    Session session = new Session();
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = socket.getOutputStream();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        recordLine(line);
        String answer = session.answer(line);
        if (answer == null) {
          return;
        }
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
      }
    } catch (IOException e) {
      // The client disconnected, or close() closed the socket; the session ends either way.
      return;
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    executor.shutdownNow();
  }

  /** The protocol state of one connection. */
  private final class Session {
    /** Whether a prepared statement is a READ or a WRITE, by its name. */
    private final Map<String, String> prepared = new HashMap<>();

    /** {@code I} outside a transaction, {@code T} inside one. */
    private char state = 'I';

    @Nullable String answer(String line) {
      String[] words = line.split(" ", -1);
      if (words[0].equals("STARTUP")) {
        boolean matches = words[1].equals(service) && (words.length < 4 || words[3].equals(id));
        return matches ? ready() : "ERROR WRONGNODE " + id + "\r\n";
      }
      if (!words[0].equals("QUERY") || words.length < 3) {
        return null;
      }
      String requestId = words[1];
      int verbIndex = words[2].equals("SINCE") ? 4 : 2;
      if (loseNextAnswer && !requestId.equals("-")) {
        loseNextAnswer = false;
        return null;
      }
      return statement(requestId, words, verbIndex);
    }

    private String statement(String requestId, String[] words, int verbIndex) {
      return switch (words[verbIndex]) {
        case "PAUSE" -> {
          pausedTerm = primary ? 0 : Long.parseLong(words[verbIndex + 1]);
          yield status();
        }
        case "RESUME" -> {
          pausedTerm = 0;
          yield status();
        }
        case "STATUS", "STEPDOWN" -> status();
        case "BEGIN" -> begin(words.length > verbIndex + 1);
        case "COMMIT" -> commit(requestId);
        case "ROLLBACK" -> rollback();
        case "PREPARE" -> {
          prepared.put(words[verbIndex + 1], words[verbIndex + 2]);
          yield done("-");
        }
        case "WRITE" -> write(requestId);
        case "EXECUTE" -> execute(requestId, words[verbIndex + 1]);
        case "READ" -> "DATAROW row\r\n" + done("sig." + requestId);
        default -> done("-");
      };
    }

    private String begin(boolean readOnly) {
      if (!primary && !readOnly) {
        return "ERROR READONLY " + id + "\r\n" + ready();
      }
      state = 'T';
      return done("-");
    }

    private String commit(String requestId) {
      state = 'I';
      commits.incrementAndGet();
      return done("sig." + requestId);
    }

    private String rollback() {
      state = 'I';
      return done("-");
    }

    private String execute(String requestId, String name) {
      String mode = prepared.get(name);
      if (mode == null) {
        return "ERROR UNPREPARED " + name + "\r\n" + ready();
      }
      return mode.equals("WRITE") ? write(requestId) : "DATAROW row\r\n" + done("sig." + requestId);
    }

    private String write(String requestId) {
      if (!primary) {
        return "ERROR READONLY " + id + "\r\n" + ready();
      }
      if (state == 'I') {
        commits.incrementAndGet();
      }
      return done("sig." + requestId);
    }

    private String status() {
      String role = primary ? "primary" : "replica";
      return "DATAROW "
          + role
          + " "
          + term
          + " "
          + term
          + "."
          + commits.get()
          + " "
          + pausedTerm
          + " 0 0 1\r\n"
          + done("-");
    }

    private String done(String signature) {
      return "COMPLETE " + signature + "\r\n" + ready();
    }

    private String ready() {
      return "READY " + state + " " + term + "." + commits.get() + "\r\n";
    }
  }
}
