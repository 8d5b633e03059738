import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a database server, in the wire protocol of PROTOCOL.md. The servers of a service
 * share one log, so that replicas have no lag and a commit is confirmed at once.
 */
final class Backend implements AutoCloseable {

  static final int SLOTS = 3;
  static final int MAX_CONNECTIONS = 23;
  private static final long WORK_MILLIS = 6;
  private static final long RESET_MILLIS = 3_000;

  /** What a server does with a message beside carrying it out. */
  enum Fate {
    ANSWER,
    /** Refuses it with BUSY; it is not run. */
    BUSY,
    /** Runs it and sends no answer; the connection stays open. */
    LOSE_ANSWER,
    /** Runs it and sends no answer; the connection is reset some seconds later. */
    LOSE_ANSWER_AND_RESET
  }

  /** Receives each statement of a client that is run, with the values of its connection. */
  interface RunListener {
    void onRun(String requestId, Map<String, String> values);
  }

  /** Decides the fate of a message. */
  interface Behaviour {
    Fate fateOf(String word);
  }

  static final Behaviour SOUND = word -> Fate.ANSWER;

  /** The log that the servers of a service share. */
  static final class Log {
    final AtomicLong commits = new AtomicLong(10);
  }

  final String service;
  final String id;
  final boolean primary;
  volatile Behaviour behaviour = SOUND;
  volatile RunListener runListener = (requestId, values) -> {};
  final AtomicInteger connections = new AtomicInteger();
  final AtomicInteger openTransactions = new AtomicInteger();
  private final Log log;
  private final CaseRecord record;
  private final ServerSocket listener;
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger nextConnection = new AtomicInteger();

  Backend(String service, String id, boolean primary, Log log, CaseRecord record)
      throws IOException {
    this.service = service;
    this.id = id;
    this.primary = primary;
    this.log = log;
    this.record = record;
    listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the value of the server's entry in the platform's store. */
  String entry() {
    return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"zone-a\","
        + "\"version\":\"v1\",\"slots\":" + SLOTS + ",\"state\":\"ready\","
        + "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1700000000000,\"database_role\":\""
        + (primary ? "primary" : "replica") + "\"}";
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    Connection connection = new Connection(nextConnection.incrementAndGet(), socket);
    int open = connections.incrementAndGet();
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (String line = read(in); line != null; line = read(in)) {
        String answer = connection.answer(line, open);
        if (answer == null) {
          continue;
        }
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        if (answer.startsWith("ERROR") && line.startsWith("STARTUP")) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The other side has closed the connection.
    } finally {
      connections.decrementAndGet();
      connection.end();
    }
  }

  static String read(InputStream in) throws IOException {
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    int before = -1;
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n' && before == '\r') {
        byte[] bytes = message.toByteArray();
        return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
      }
      message.write(b);
      before = b;
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private final class Connection {
    private final int number;
    private final Socket socket;
    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private final List<String> written = new ArrayList<>();
    private char state = 'I';

    Connection(int number, Socket socket) {
      this.number = number;
      this.socket = socket;
    }

    void end() {
      if (state != 'I') {
        openTransactions.decrementAndGet();
        state = 'I';
      }
    }

    private void enter(char next) {
      if (state == 'I' && next != 'I') {
        openTransactions.incrementAndGet();
      } else if (state != 'I' && next == 'I') {
        openTransactions.decrementAndGet();
      }
      state = next;
    }

    /** Returns the answer to a message; null if none is sent. */
    String answer(String line, int openConnections) throws InterruptedException {
      String[] words = line.split(" ", -1);
      if (words[0].equals("STARTUP")) {
        boolean matches = words[1].equals(service) && (words.length < 4 || words[3].equals(id));
        return !matches
            ? "ERROR WRONGNODE " + id + "\r\n"
            : openConnections > MAX_CONNECTIONS ? "ERROR TOOMANY " + id + "\r\n" : ready();
      }
      if (!words[0].equals("QUERY") || words.length < 3) {
        return null;
      }
      int verb = words[2].equals("SINCE") ? 4 : 2;
      String word = words[verb];
      if (!word.equals("STATUS")) {
        record.line("server " + id + " connection " + number + " state " + state + " < " + line);
      }
      Fate fate = behaviour.fateOf(word);
      String answer = fate == Fate.BUSY ? error("BUSY") : run(words[1], words, verb);
      if (fate != Fate.ANSWER) {
        record.line(
            "server " + id + " connection " + number + " > "
                + (fate == Fate.BUSY ? "BUSY" : "(answer lost) " + answer.replace("\r\n", " / ")));
      }
      if (fate == Fate.LOSE_ANSWER_AND_RESET) {
        start(this::resetLater);
      }
      return fate == Fate.ANSWER || fate == Fate.BUSY ? answer : null;
    }

    private void resetLater() {
      try {
        Thread.sleep(RESET_MILLIS);
        record.line("server " + id + " connection " + number + " is reset");
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException | InterruptedException e) {
        // The connection has ended before.
      }
    }

    private String run(String requestId, String[] words, int verb) throws InterruptedException {
      String word = words[verb];
      if (state == 'E' && !word.equals("COMMIT") && !word.equals("ROLLBACK")) {
        return error("MALFORMED");
      }
      switch (word) {
        case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
          return "DATAROW " + (primary ? "primary" : "replica") + " 1 1." + log.commits.get()
              + " 0 0 " + (SLOTS - slots.availablePermits()) + " " + connections.get() + "\r\n"
              + complete("-");
        case "BEGIN":
          if (!primary && words.length == verb + 1) {
            return error("READONLY");
          }
          enter('T');
          return complete("-");
        case "ROLLBACK":
          written.clear();
          enter('I');
          return complete("-");
        case "PREPARE":
          prepared.put(words[verb + 1], words[verb + 2]);
          return complete("-");
        case "DISCARD":
          prepared.clear();
          values.clear();
          return complete("-");
        case "SET":
          values.put(words[verb + 1], words[verb + 2]);
          return complete("-");
        case "READ":
          return read(requestId);
        case "WRITE":
          return write(requestId);
        case "EXECUTE":
          String mode = prepared.get(words[verb + 1]);
          return mode == null
              ? error("UNPREPARED")
              : mode.equals("WRITE") ? write(requestId) : read(requestId);
        case "COMMIT":
          return commit(requestId);
        default:
          return complete("-");
      }
    }

    private void work(String requestId) throws InterruptedException {
      runListener.onRun(requestId, Map.copyOf(values));
      slots.acquire();
      try {
        Thread.sleep(WORK_MILLIS);
      } finally {
        slots.release();
      }
    }

    private String read(String requestId) throws InterruptedException {
      work(requestId);
      return "DATAROW row-" + requestId + "\r\n" + complete("sig." + requestId);
    }

    private String write(String requestId) throws InterruptedException {
      if (!primary) {
        return error("READONLY");
      }
      work(requestId);
      if (state == 'T') {
        written.add(requestId);
      } else {
        log.commits.incrementAndGet();
        record.line("server " + id + " connection " + number + " commits " + requestId);
      }
      return complete("sig." + requestId);
    }

    private String commit(String requestId) throws InterruptedException {
      if (state == 'E') {
        written.clear();
        enter('I');
        return error("ABORTED");
      }
      work(requestId);
      if (!written.isEmpty()) {
        log.commits.incrementAndGet();
        record.line("server " + id + " connection " + number + " commits " + written);
        written.clear();
      }
      enter('I');
      return complete("sig." + requestId);
    }

    private String error(String code) {
      if (state == 'T') {
        state = 'E';
      }
      return "ERROR " + code + " " + id + "\r\n" + ready();
    }

    private String complete(String signature) {
      return "COMPLETE " + signature + "\r\n" + ready();
    }

    private String ready() {
      return "READY " + state + " 1." + log.commits.get() + "\r\n";
    }
  }
}
