import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that write one item after the other, each on a session of its own. */
final class Writers {

  private static final int PAUSE_MILLIS = 40;
  private static final int READ_PAUSE_MILLIS = 10;

  private final Database database;
  private final CaseRecord record;
  private final AtomicInteger nextId = new AtomicInteger();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private volatile boolean stopped;

  Writers(Database database, CaseRecord record) {
    this.database = database;
    this.record = record;
  }

  /** Starts a client of an instance. */
  void start(Fleet.Instance instance) {
    Thread t = new Thread(() -> run(instance.clientPort), "client");
    t.setDaemon(true);
    t.start();
  }

  /** Starts a client of an instance that reads on the route {@code db-reads}. */
  void startReader(Fleet.Instance instance) {
    Thread t = new Thread(() -> read(instance.clientPort), "reader");
    t.setDaemon(true);
    t.start();
  }

  private void read(int port) {
    while (!stopped) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket.setSoTimeout(2_000);
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        OutputStream out = socket.getOutputStream();
        send(out, "STARTUP db-reads client");
        in.readLine();
        while (!stopped) {
          String id = String.format("r%06d", nextId.incrementAndGet());
          send(out, "QUERY " + id + " READ item data");
          String line = in.readLine();
          record.write(id + " READ -> " + line);
          while (line != null && !line.startsWith("READY")) {
            line = in.readLine();
          }
          if (line == null) {
            break;
          }
          Database.sleep(READ_PAUSE_MILLIS);
        }
      } catch (IOException e) {
        Database.sleep(PAUSE_MILLIS);
      }
    }
  }

  void stop() {
    stopped = true;
  }

  /** Returns the outcomes since {@code before}. */
  synchronized Map<String, Integer> outcomesSince(Map<String, Integer> before) {
    Map<String, Integer> since = new TreeMap<>();
    outcomes.forEach((outcome, n) -> since.put(outcome, n - before.getOrDefault(outcome, 0)));
    since.values().removeIf(n -> n == 0);
    return since;
  }

  synchronized Map<String, Integer> outcomes() {
    return new TreeMap<>(outcomes);
  }

  private void run(int port) {
    while (!stopped) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket.setSoTimeout(2_000);
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        OutputStream out = socket.getOutputStream();
        send(out, "STARTUP db-primary client");
        in.readLine();
        while (!stopped) {
          String id = String.format("w%06d", nextId.incrementAndGet());
          send(out, "QUERY " + id + " WRITE item" + id + " data");
          note(id, in.readLine());
          in.readLine();
          Database.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        note("-", "no answer");
        Database.sleep(PAUSE_MILLIS);
      }
    }
  }

  private void note(String id, String line) {
    String outcome = line == null ? "closed" : line.startsWith("COMPLETE") ? "done" : line;
    if (outcome.equals("done")) {
      synchronized (database) {
        database.acknowledged.add(id);
      }
    }
    record.write(id + " WRITE -> " + outcome);
    String[] words = outcome.split(" ");
    String word = words[0].equals("ERROR") ? words[1] : outcome;
    synchronized (this) {
      outcomes.merge(word, 1, Integer::sum);
    }
  }

  private static void send(OutputStream out, String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
