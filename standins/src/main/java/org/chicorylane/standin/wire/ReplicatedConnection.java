package org.chicorylane.standin.wire;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/** One connection to a {@link ReplicatedServer}, run by a thread of its own. */
final class ReplicatedConnection implements Runnable {

  private static final int MAX_CONNECTIONS = 23;

  /** Longest time for which a statement occupies a slot. */
  private static final long MAX_SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(3);

  private static final String END = "\r\n";

  private static final Set<String> STATEMENTS = Set.of("READ", "WRITE", "EXECUTE");

  private final ReplicatedServer server;
  private final ReplicatedGroup group;
  private final Socket socket;
  private final int incarnation;

  /** Whether a prepared statement is a READ or a WRITE, by its name. */
  private final Map<String, String> prepared = new HashMap<>();

  private final List<String> written = new ArrayList<>();

  /** {@code I} outside a transaction, {@code T} inside one, {@code E} in a failed one. */
  private char state = 'I';

  private boolean readOnly;

  /** Whether a transaction has begun and none of its statements has arrived yet. */
  private boolean awaitsFirstStatement;

  ReplicatedConnection(ReplicatedServer server, Socket socket) {
    this.server = server;
    this.group = server.group();
    this.socket = socket;
    synchronized (group) {
      this.incarnation = server.incarnation();
    }
  }

  @Override
  public void run() {
    try (socket) {
      socket.setTcpNoDelay(true);
      WireReader in = new WireReader(socket.getInputStream());
      AnswerWriter out =
          new AnswerWriter(
              socket.getOutputStream(), server.faults(), group.timer(), server::answers);
      for (String line = in.read(); line != null; line = in.read()) {
        noteArrival(line, System.nanoTime());
        if (group.awaitThaw(server, incarnation)) {
          out.onRequest();
        }
        String answer = group.awaitThaw(server, incarnation) ? answer(line) : null;
        if (answer == null || !group.awaitThaw(server, incarnation)) {
          return;
        }
        out.write(line, answer);
        if (answer.startsWith("ERROR") && line.startsWith("STARTUP")) {
          return;
        }
      }
    } catch (IOException e) {
      // The other side disconnected, or the server crashed; the connection ends either way.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      synchronized (group) {
        server.remove(socket);
      }
    }
  }

  private void noteArrival(String line, long nanos) {
    String[] words = line.split(" ", -1);
    int verb = words.length > 2 && words[2].equals("SINCE") ? 4 : 2;
    noteText(line, words, verb);
    boolean isStatement =
        words[0].equals("QUERY") && words.length > verb && STATEMENTS.contains(words[verb]);
    if (isStatement && (state == 'I' || awaitsFirstStatement)) {
      awaitsFirstStatement = false;
      synchronized (group) {
        group.onArrival(server, words[1], nanos);
      }
    }
  }

  /** Reports a statement without its position, and every message that is no part of a session. */
  private void noteText(String line, String[] words, int verb) {
    if (words[0].equals("STARTUP") || line.equals("TERMINATE")) {
      return;
    }
    boolean isQuery = words[0].equals("QUERY") && words.length > verb;
    String requestId = isQuery ? words[1] : "";
    String text = isQuery ? line.split(" ", verb + 1)[verb] : line;
    synchronized (group) {
      group.onStatement(server, requestId, text);
    }
  }

  /** Returns the answer to a line, null if the connection ends without one. */
  private @Nullable String answer(String line) throws IOException, InterruptedException {
    String[] words = line.split(" ", -1);
    if (words[0].equals("STARTUP")) {
      return startup(words);
    }
    if (!words[0].equals("QUERY") || words.length < 3) {
      return null;
    }
    boolean hasFloor = words[2].equals("SINCE");
    int verb = hasFloor ? 4 : 2;
    return statement(words[1], words, verb, hasFloor ? words[3] : "");
  }

  private String startup(String[] words) {
    synchronized (group) {
      if (!words[1].equals(group.name()) || (words.length > 3 && !words[3].equals(server.id()))) {
        return "ERROR WRONGNODE " + server.id() + END;
      }
      return server.connections() > MAX_CONNECTIONS
          ? "ERROR TOOMANY " + server.id() + END
          : ready();
    }
  }

  private @Nullable String statement(String requestId, String[] words, int verb, String floor)
      throws IOException, InterruptedException {
    String name = words[verb];
    boolean endsTransaction = name.equals("COMMIT") || name.equals("ROLLBACK");
    if (state == 'E' && !endsTransaction) {
      return error("MALFORMED");
    }
    if (StandInWireServer.REFUSABLE.contains(name) && server.faults().drawRefusal()) {
      return error("BUSY");
    }
    return switch (name) {
      case "STATUS", "PAUSE", "RESUME", "STEPDOWN" -> control(words, verb);
      case "BEGIN" -> begin(words.length > verb + 1, floor);
      case "COMMIT" -> commit(requestId);
      case "ROLLBACK" -> rollback();
      case "PREPARE" -> {
        prepared.put(words[verb + 1], words[verb + 2]);
        yield complete("-");
      }
      case "DISCARD" -> {
        prepared.clear();
        yield complete("-");
      }
      case "READ" -> read(requestId, floor);
      case "WRITE" -> write(requestId);
      case "EXECUTE" -> execute(requestId, words[verb + 1], floor);
      default -> complete("-");
    };
  }

  private String control(String[] words, int verb) throws IOException {
    synchronized (group) {
      switch (words[verb]) {
        case "PAUSE" -> server.seal(Long.parseLong(words[verb + 1]));
        case "RESUME" -> server.unseal();
        case "STEPDOWN" -> {
          if (server.isPrimary() && Long.parseLong(words[verb + 1]) > server.term()) {
            server.remove(socket);
            server.stepDown();
          }
        }
        default -> {
          // STATUS only reports.
        }
      }
      return "DATAROW " + server.statusRow() + END + complete("-");
    }
  }

  private String begin(boolean isReadOnly, String floor) {
    synchronized (group) {
      String refusal = refusal(!isReadOnly, floor);
      if (refusal != null) {
        return error(refusal);
      }
      state = 'T';
      awaitsFirstStatement = true;
      readOnly = isReadOnly;
      return complete("-");
    }
  }

  private String rollback() {
    state = 'I';
    written.clear();
    return complete("-");
  }

  private @Nullable String commit(String requestId) throws InterruptedException {
    boolean failed = state == 'E';
    state = 'I';
    if (failed) {
      written.clear();
      return error("ABORTED");
    }
    if (written.isEmpty()) {
      return complete("sig." + requestId);
    }
    List<String> ids = new ArrayList<>(written);
    ids.add(requestId);
    written.clear();
    return append(requestId, ids);
  }

  private String read(String requestId, String floor) throws InterruptedException {
    occupySlot();
    synchronized (group) {
      String refusal = refusal(state == 'T' && !readOnly, floor);
      if (refusal != null) {
        return error(refusal);
      }
      group.onRead(server, requestId);
      StringBuilder rows = new StringBuilder();
      group.rows().of(requestId).forEach(r -> rows.append("DATAROW ").append(r).append(END));
      return rows + complete("sig." + requestId);
    }
  }

  private @Nullable String write(String requestId) throws InterruptedException {
    occupySlot();
    if (state == 'I') {
      return append(requestId, List.of(requestId));
    }
    synchronized (group) {
      String refusal = readOnly ? "READONLY" : refusal(true, "");
      if (refusal != null) {
        return error(refusal);
      }
      written.add(requestId);
      return complete("sig." + requestId);
    }
  }

  private @Nullable String execute(String requestId, String name, String floor)
      throws InterruptedException {
    String mode = prepared.get(name);
    if (mode == null) {
      return error("UNPREPARED");
    }
    return mode.equals("WRITE") ? write(requestId) : read(requestId, floor);
  }

  private @Nullable String append(String requestId, List<String> ids) throws InterruptedException {
    synchronized (group) {
      String refusal = refusal(true, "");
      if (refusal != null) {
        return error(refusal);
      }
      return group.commit(server, ids) ? complete("sig." + requestId) : null;
    }
  }

  private @Nullable String refusal(boolean needsPrimary, String floor) {
    if (server.isBusy()) {
      return "BUSY";
    }
    if (needsPrimary && !server.isPrimary()) {
      return "READONLY";
    }
    return floor.isEmpty() || covers(server.visibleEnd(), floor) ? null : "LAGGING";
  }

  private static boolean covers(LogEntry end, String floor) {
    int period = floor.indexOf('.');
    long term = Long.parseLong(floor.substring(0, period));
    long number = Long.parseLong(floor.substring(period + 1));
    return end.term() > term || (end.term() == term && end.number() >= number);
  }

  private void occupySlot() throws InterruptedException {
    server.slots().acquire();
    try {
      LockSupport.parkNanos(ThreadLocalRandom.current().nextLong(MAX_SERVICE_NANOS));
    } finally {
      server.slots().release();
    }
  }

  private String error(String code) {
    state = state == 'I' ? 'I' : 'E';
    return "ERROR " + code + " " + server.id() + END + ready();
  }

  private String complete(String signature) {
    return "COMPLETE " + signature + END + ready();
  }

  private String ready() {
    synchronized (group) {
      return "READY " + state + " " + server.visibleEnd().position() + END;
    }
  }
}
