import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A database group of three servers that speak the wire protocol of PROTOCOL.md and replicate with
 * {@code sync_replicas} 1. The lock of this object guards the state of all servers.
 */
final class Database {

  static final String NAME = "plans";
  static final int MAX_CONNECTIONS = 23;
  private static final int DELIVERY_MILLIS = 2;
  private static final int STATEMENT_MILLIS = 3;
  private static final int PROMOTION_MILLIS = 300;
  private static final int REPLACED_MILLIS = 1_000;

  /** One commit. */
  static final class Entry {
    final long term;
    final long number;
    final List<String> ids;
    final long appended = System.nanoTime();
    boolean received;

    Entry(long term, long number, List<String> ids) {
      this.term = term;
      this.number = number;
      this.ids = ids;
    }
  }

  /** One server. It keeps its port. */
  final class Server {
    final int port;
    String id;
    long born = System.currentTimeMillis();
    boolean primary;
    long term = 1;
    long held;
    boolean deaf;

    /** Whether it neither answers nor sends anything; it runs on afterwards. */
    boolean dark;

    boolean draining;
    boolean listed = true;
    long replacedSince;
    final List<Entry> log = new ArrayList<>();
    final Set<Socket> sockets = new HashSet<>();
    ServerSocket listener;

    Server(String id, int port) {
      this.id = id;
      this.port = port;
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    boolean runs() {
      return listener != null;
    }

    String position() {
      return log.isEmpty()
          ? "0.0"
          : log.get(log.size() - 1).term + "." + log.get(log.size() - 1).number;
    }

    boolean holds(String requestId) {
      return log.stream().anyMatch(e -> e.ids.contains(requestId));
    }
  }

  private final CaseRecord record;
  final List<Server> servers = new ArrayList<>();
  final List<String> violations = new ArrayList<>();

  /** The last server whose promotion took effect. */
  Server lastPromoted;

  /** The request ids of the commits that clients were told of. */
  final Set<String> acknowledged = new HashSet<>();

  Database(CaseRecord record) throws IOException {
    this.record = record;
    for (String id : List.of("server-a", "server-b", "server-c")) {
      Server s = new Server(id, Fleet.freePort());
      s.log.add(new Entry(1, 1, List.of()));
      servers.add(s);
      start(s);
    }
    servers.get(0).primary = true;
    Thread ticks = new Thread(this::tick, "replication");
    ticks.setDaemon(true);
    ticks.start();
  }

  /** Starts a server that was not there before; it receives the log of the primary. */
  synchronized Server add(String id) throws IOException {
    Server s = new Server(id, Fleet.freePort());
    s.term = 0;
    servers.add(s);
    start(s);
    return s;
  }

  /** Ends the process of a server that has drained; its log is gone with it. */
  synchronized void remove(Server s) throws IOException {
    crash(s);
    servers.remove(s);
    record.write("server " + s.id + " has left");
  }

  /** Starts the process of a server. */
  synchronized void start(Server s) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), s.port), 64);
    s.listener = listener;
    s.held = 0;
    s.replacedSince = 0;
    s.primary = s.primary && s.term == newestTerm();
    Thread accept =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket socket = listener.accept();
                  synchronized (this) {
                    s.sockets.add(socket);
                  }
                  Thread t = new Thread(() -> serve(s, socket, listener), "connection");
                  t.setDaemon(true);
                  t.start();
                }
              } catch (IOException e) {
                // The server was stopped.
              }
            });
    accept.setDaemon(true);
    accept.start();
    record.write("server " + s.id + " runs, log " + s.position());
  }

  /** Ends the process of a server without notice; its log remains. */
  synchronized void crash(Server s) throws IOException {
    s.listener.close();
    s.listener = null;
    for (Socket socket : s.sockets) {
      socket.close();
    }
    s.sockets.clear();
    notifyAll();
    record.write("server " + s.id + " crashes, log " + s.position());
  }

  /** Starts a server again under its id; it holds and knows nothing of before. */
  synchronized void startEmpty(Server s) throws IOException {
    s.log.clear();
    s.term = 0;
    s.primary = false;
    s.born = System.currentTimeMillis();
    start(s);
  }

  synchronized Server primary() {
    Server best = null;
    for (Server s : servers) {
      if (s.primary && (best == null || s.term > best.term)) {
        best = s;
      }
    }
    return best;
  }

  private long newestTerm() {
    return servers.stream().mapToLong(s -> s.term).max().orElse(0);
  }

  /** Carries out an accepted call for a promotion after a while. */
  void order(String id) {
    Thread t =
        new Thread(
            () -> {
              sleep(PROMOTION_MILLIS);
              promote(id);
            });
    t.setDaemon(true);
    t.start();
  }

  private synchronized void promote(String id) {
    for (Server s : servers) {
      if (s.id.equals(id) && s.runs() && s != primary()) {
        record.write("promotion of " + id + " takes effect, its log ends at " + s.position());
        List<String> lost = acknowledged.stream().filter(r -> !s.holds(r)).sorted().toList();
        if (!lost.isEmpty()) {
          violations.add(
              "LOST: " + lost.size() + " acknowledged commits aren't in the log of " + id + ": "
                  + lost.get(0) + " to " + lost.get(lost.size() - 1));
        }
        s.term = newestTerm() + 1;
        s.primary = true;
        s.held = 0;
        lastPromoted = s;
      }
    }
  }

  private void tick() {
    while (true) {
      synchronized (this) {
        long now = System.nanoTime();
        Server leader = null;
        for (Server s : servers) {
          if (s.runs() && s.primary && !s.dark && (leader == null || s.term > leader.term)) {
            leader = s;
          }
        }
        if (leader != null) {
          for (Server s : servers) {
            if (s != leader && s.runs() && !s.dark) {
              follow(s, leader, now);
            }
          }
          notifyAll();
        }
      }
      sleep(1);
    }
  }

  private void follow(Server s, Server leader, long now) {
    if (s.primary) {
      if (s.replacedSince == 0) {
        s.replacedSince = now;
      } else if (now - s.replacedSince > REPLACED_MILLIS * 1_000_000L) {
        stepDown(s);
      }
      return;
    }
    if (s.deaf) {
      return;
    }
    if (leader.term > s.term) {
      s.term = leader.term;
      s.held = 0;
      int common = 0;
      while (common < s.log.size()
          && common < leader.log.size()
          && s.log.get(common) == leader.log.get(common)) {
        common++;
      }
      s.log.subList(common, s.log.size()).clear();
    }
    if (s.held > 0) {
      return;
    }
    while (s.log.size() < leader.log.size()) {
      Entry next = leader.log.get(s.log.size());
      if (now - next.appended < DELIVERY_MILLIS * 1_000_000L) {
        break;
      }
      s.log.add(next);
      next.received = true;
    }
  }

  private void stepDown(Server s) {
    s.primary = false;
    s.replacedSince = 0;
    record.write("server " + s.id + " steps down");
    for (Socket socket : List.copyOf(s.sockets)) {
      try {
        socket.close();
      } catch (IOException e) {
        // It was closed already.
      }
    }
    notifyAll();
  }

  private void serve(Server s, Socket socket, ServerSocket listener) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = socket.getOutputStream();
      Map<String, String> prepared = new HashMap<>();
      List<String> written = new ArrayList<>();
      char[] state = {'I'};
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        awaitLight(s);
        String answer = answer(s, listener, line.split(" ", -1), prepared, written, state);
        if (answer == null) {
          return;
        }
        awaitLight(s);
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        if (line.startsWith("STARTUP") && answer.startsWith("ERROR")) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The connection ended.
    } finally {
      synchronized (this) {
        s.sockets.remove(socket);
      }
    }
  }

  private synchronized void awaitLight(Server s) throws InterruptedException {
    while (s.dark) {
      wait();
    }
  }

  synchronized void setDark(Server s, boolean dark) {
    s.dark = dark;
    notifyAll();
    record.write("server " + s.id + (dark ? " goes dark, log " : " is back, log ") + s.position());
  }

  /** Returns the answer to a message; null if the connection ends without one. */
  private String answer(
      Server s,
      ServerSocket listener,
      String[] w,
      Map<String, String> prepared,
      List<String> written,
      char[] state)
      throws InterruptedException {
    if (w[0].equals("STARTUP")) {
      synchronized (this) {
        if (!w[1].equals(NAME) || (w.length > 3 && !w[3].equals(s.id))) {
          return "ERROR WRONGNODE " + s.id + "\r\n";
        }
        return s.sockets.size() > MAX_CONNECTIONS ? "ERROR TOOMANY " + s.id + "\r\n" : ready(s, state);
      }
    }
    if (!w[0].equals("QUERY") || w.length < 3) {
      return null;
    }
    String id = w[1];
    boolean hasFloor = w[2].equals("SINCE");
    int v = hasFloor ? 4 : 2;
    String verb = w[v];
    if (state[0] == 'E' && !verb.equals("ROLLBACK") && !verb.equals("COMMIT")) {
      return error(s, "MALFORMED", state);
    }
    String mode = verb.equals("EXECUTE") ? prepared.get(w[v + 1]) : verb;
    if (mode == null) {
      return error(s, "UNPREPARED", state);
    }
    boolean works = mode.equals("READ") || mode.equals("WRITE") || mode.equals("COMMIT");
    if (works) {
      Thread.sleep(STATEMENT_MILLIS);
    }
    synchronized (this) {
      if (s.listener != listener) {
        return null;
      }
      boolean needsPrimary =
          mode.equals("WRITE") || (mode.equals("BEGIN") && w.length == v + 1)
              || (mode.equals("COMMIT") && !written.isEmpty());
      if (needsPrimary && !s.primary) {
        return error(s, "READONLY", state);
      }
      if (hasFloor && !covers(s, w[3])) {
        return error(s, "LAGGING", state);
      }
      switch (mode) {
        case "STATUS", "PAUSE", "RESUME", "STEPDOWN" -> {
          long term = w.length > v + 1 ? Long.parseLong(w[v + 1]) : 0;
          if (mode.equals("PAUSE") && !s.primary && term > s.term) {
            s.held = term;
          } else if (mode.equals("RESUME")) {
            s.held = 0;
          } else if (mode.equals("STEPDOWN") && s.primary && term > s.term) {
            s.primary = false;
          }
          String row =
              (s.primary ? "primary " : "replica ") + s.term + " " + s.position() + " " + s.held
                  + " 0 0 " + s.sockets.size();
          return "DATAROW " + row + "\r\nCOMPLETE -\r\n" + ready(s, state);
        }
        case "BEGIN" -> state[0] = 'T';
        case "ROLLBACK" -> {
          state[0] = 'I';
          written.clear();
        }
        case "PREPARE" -> prepared.put(w[v + 1], w[v + 2]);
        case "DISCARD" -> prepared.clear();
        case "READ" -> {
          record.write("server " + s.id + " runs " + id + " at " + s.position());
          return "DATAROW row\r\nCOMPLETE sig." + id + "." + System.nanoTime() + "\r\n" + ready(s, state);
        }
        case "WRITE" -> {
          if (state[0] == 'T') {
            written.add(id);
          } else if (!commit(s, listener, List.of(id))) {
            return null;
          }
          return "COMPLETE sig." + id + "." + System.nanoTime() + "\r\n" + ready(s, state);
        }
        case "COMMIT" -> {
          boolean failed = state[0] == 'E';
          state[0] = 'I';
          List<String> ids = new ArrayList<>(written);
          written.clear();
          if (failed) {
            return error(s, "ABORTED", state);
          }
          if (!ids.isEmpty() && !commit(s, listener, ids)) {
            return null;
          }
          return "COMPLETE sig." + id + "." + System.nanoTime() + "\r\n" + ready(s, state);
        }
        default -> {
          // SET and DEALLOCATE have no effect that the case looks at.
        }
      }
      return "COMPLETE -\r\n" + ready(s, state);
    }
  }

  private static boolean covers(Server s, String floor) {
    if (s.log.isEmpty()) {
      return false;
    }
    Entry end = s.log.get(s.log.size() - 1);
    String[] f = floor.split("\\.");
    long term = Long.parseLong(f[0]);
    return end.term > term || (end.term == term && end.number >= Long.parseLong(f[1]));
  }

  /** Appends a commit and waits until a replica has received it. */
  private boolean commit(Server s, ServerSocket listener, List<String> ids)
      throws InterruptedException {
    Entry entry = new Entry(s.term, s.log.size() + 1, ids);
    s.log.add(entry);
    record.write("server " + s.id + " commits " + ids + " as " + s.position());
    while (!entry.received) {
      if (s.listener != listener || !s.primary) {
        return false;
      }
      wait();
    }
    return true;
  }

  private static String error(Server s, String code, char[] state) {
    state[0] = state[0] == 'I' ? 'I' : 'E';
    return "ERROR " + code + " " + s.id + "\r\n" + ready(s, state);
  }

  private static String ready(Server s, char[] state) {
    return "READY " + state[0] + " " + s.position() + "\r\n";
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
