package org.chicorylane.standin.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * A database server for the line protocol, on a loopback port. All servers of a group share one
 * commit counter, so replicas have no replication lag.
 */
public final class StandInWireServer implements AutoCloseable {

  /** Statements that a server may refuse with BUSY. */
  static final Set<String> REFUSABLE = Set.of("READ", "WRITE", "EXECUTE", "BEGIN");

  private static final Set<String> TRANSACTION_ENDS = Set.of("COMMIT", "ROLLBACK");

  private final String service;
  private final String id;
  private final boolean startsAsPrimary;
  private final AtomicLong commits;
  private final ServerSocket listener;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final ScheduledExecutorService copyTimer = Executors.newSingleThreadScheduledExecutor();
  private final AnswerFaults faults;
  private final List<String> received = new ArrayList<>();
  private final List<String> writes = new ArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile boolean primary;
  private volatile long term = 1;

  /** The term with which a replica was stopped from receiving; 0 if it receives. */
  private volatile long pausedTerm;

  private volatile boolean loseNextAnswer;

  private volatile WireRows rows = WireRows.PRINTABLE;

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
    this.faults = new AnswerFaults(id.hashCode());
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

  /** Returns what the server does wrong with its answers. */
  public AnswerFaults faults() {
    return faults;
  }

  /** Sets the rows of answers to reads. */
  public void setRows(WireRows newRows) {
    rows = newRows;
  }

  /** Returns the request ids of the writes and commits that have taken effect so far, in order. */
  public List<String> writes() {
    synchronized (received) {
      return List.copyOf(writes);
    }
  }

  /** Returns the messages received on all connections so far, in order of arrival. */
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

  private void noteWrites(List<String> requestIds) {
    synchronized (received) {
      writes.addAll(requestIds);
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
      socket.setTcpNoDelay(true);
      WireReader in = new WireReader(socket.getInputStream());
      AnswerWriter out =
          new AnswerWriter(socket.getOutputStream(), faults, copyTimer, () -> !socket.isClosed());
      for (String line = in.read(); line != null; line = in.read()) {
        recordLine(line);
        out.onRequest();
        String answer = session.answer(line);
        if (answer == null) {
          return;
        }
        out.write(line, answer);
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
    copyTimer.shutdownNow();
  }

  /** The protocol state of one connection. */
  private final class Session {
    /** Whether a prepared statement is a READ or a WRITE, by its name. */
    private final Map<String, String> prepared = new HashMap<>();

    /** The request ids of the writes of the open transaction. */
    private final List<String> pending = new ArrayList<>();

    /** {@code I} outside a transaction, {@code T} inside one, {@code E} in a failed one. */
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
      boolean endsTransaction = TRANSACTION_ENDS.contains(words[verbIndex]);
      if (state == 'E' && !endsTransaction) {
        return error("MALFORMED " + id);
      }
      if (REFUSABLE.contains(words[verbIndex]) && faults.drawRefusal()) {
        return error("BUSY " + id);
      }
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
        case "READ" -> read(requestId);
        default -> done("-");
      };
    }

    private String begin(boolean readOnly) {
      if (!primary && !readOnly) {
        return error("READONLY " + id);
      }
      state = 'T';
      return done("-");
    }

    private String commit(String requestId) {
      boolean failed = state == 'E';
      state = 'I';
      if (failed) {
        pending.clear();
        return error("ABORTED " + id);
      }
      commits.incrementAndGet();
      pending.add(requestId);
      noteWrites(pending);
      pending.clear();
      return done("sig." + requestId);
    }

    private String rollback() {
      state = 'I';
      pending.clear();
      return done("-");
    }

    private String execute(String requestId, String name) {
      String mode = prepared.get(name);
      if (mode == null) {
        return error("UNPREPARED " + name);
      }
      return mode.equals("WRITE") ? write(requestId) : read(requestId);
    }

    private String read(String requestId) {
      StringBuilder answer = new StringBuilder();
      rows.of(requestId).forEach(row -> answer.append("DATAROW ").append(row).append("\r\n"));
      return answer + done("sig." + requestId);
    }

    private String write(String requestId) {
      if (!primary) {
        return error("READONLY " + id);
      }
      if (state == 'T') {
        pending.add(requestId);
      } else {
        commits.incrementAndGet();
        noteWrites(List.of(requestId));
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

    private String error(String text) {
      state = state == 'I' ? 'I' : 'E';
      return "ERROR " + text + "\r\n" + ready();
    }

    private String done(String signature) {
      return "COMPLETE " + signature + "\r\n" + ready();
    }

    private String ready() {
      return "READY " + state + " " + term + "." + commits.get() + "\r\n";
    }
  }
}
