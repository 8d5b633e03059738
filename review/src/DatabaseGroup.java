import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;

/**
 * A database group of three servers, as PROTOCOL.md describes them. Messages end with CR LF; a CR or
 * an LF alone belongs to the last field. The servers share one log, so that each replica has
 * received a commit before the commit is acknowledged.
 */
final class DatabaseGroup {

  private static final int SLOTS = 3;
  private static final int MAX_CONNECTIONS = 23;
  private static final int MAX_MESSAGE_BYTES = 1 << 20;

  /** A statement that a server has run. */
  record Run(String server, String requestId, String text) {}

  final String name;
  final List<Server> servers = new ArrayList<>();
  private final Map<String, String> items = new HashMap<>();
  private final List<Run> runs = new ArrayList<>();
  private long term = 1;
  private long number = 1;
  private Server primary;

  DatabaseGroup(String name) throws IOException {
    this.name = name;
    for (int i = 0; i < 3; i++) {
      servers.add(new Server("i-" + name + "-" + i));
    }
    primary = servers.get(0);
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Carries out a promotion; returns whether the server exists. */
  synchronized boolean promote(String id) {
    for (Server s : servers) {
      if (s.id.equals(id)) {
        if (s != primary) {
          primary = s;
          s.heldTerm = 0;
          term++;
        }
        return true;
      }
    }
    return false;
  }

  synchronized void put(String item, String value) {
    items.put(item, value);
  }

  private synchronized String position() {
    return term + "." + number;
  }

  /** One server, on a loopback port. */
  final class Server {
    final String id;
    final ServerSocket listener = new ServerSocket();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private int connections;
    private long heldTerm;

    Server(String id) throws IOException {
      this.id = id;
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
      Daemon.start(this::accept);
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listener.accept();
          Daemon.start(() -> serve(socket));
        }
      } catch (IOException e) {
        return;
      }
    }

    private void serve(Socket socket) {
      synchronized (DatabaseGroup.this) {
        connections++;
      }
      try (socket) {
        socket.setTcpNoDelay(true);
        new Connection(this, socket).run();
      } catch (IOException | InterruptedException e) {
        return;
      } finally {
        synchronized (DatabaseGroup.this) {
          connections--;
        }
      }
    }

    String role() {
      return primary == this ? "primary" : "replica";
    }
  }

  /** One connection to a server. */
  private final class Connection {
    private final Server server;
    private final InputStream in;
    private final OutputStream out;
    private final Map<String, String> prepared = new HashMap<>();
    private final Map<String, String> written = new HashMap<>();
    private boolean open;
    private char state = 'I';
    private boolean readOnly;

    Connection(Server server, Socket socket) throws IOException {
      this.server = server;
      this.in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      this.out = socket.getOutputStream();
    }

    void run() throws IOException, InterruptedException {
      for (String m = Wire.read(in, MAX_MESSAGE_BYTES); m != null; m = Wire.read(in, MAX_MESSAGE_BYTES)) {
        String answer = answer(m);
        if (answer == null) {
          return;
        }
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        if (!open) {
          return;
        }
      }
    }

    private String answer(String message) throws InterruptedException {
      String[] f = message.split(" ", 4);
      if (f[0].equals("STARTUP")) {
        synchronized (DatabaseGroup.this) {
          if (!f[1].equals(name) || (f.length > 3 && !f[3].equals(server.id))) {
            return "ERROR WRONGNODE " + server.id + Wire.END;
          }
          if (server.connections > MAX_CONNECTIONS) {
            return "ERROR TOOMANY " + server.id + Wire.END;
          }
        }
        open = true;
        return ready();
      }
      if (!open || !f[0].equals("QUERY") || f.length < 3) {
        return null;
      }
      String text = message.substring(f[0].length() + f[1].length() + 2);
      if (text.startsWith("SINCE ")) {
        text = text.split(" ", 3)[2];
      }
      server.slots.acquire();
      try {
        Thread.sleep(1);
        return statement(f[1], text);
      } finally {
        server.slots.release();
      }
    }

    private String statement(String id, String text) {
      String[] f = text.split(" ", 3);
      synchronized (DatabaseGroup.this) {
        if (!id.equals("-")) {
          runs.add(new Run(server.id, id, text));
        }
        boolean isPrimary = primary == server;
        if (state == 'E' && !f[0].equals("ROLLBACK") && !f[0].equals("COMMIT")) {
          return error("MALFORMED");
        }
        switch (f[0]) {
          case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
            if (f[0].equals("PAUSE") && !isPrimary && Long.parseLong(f[1]) > term) {
              server.heldTerm = Long.parseLong(f[1]);
            } else if (f[0].equals("RESUME")) {
              server.heldTerm = 0;
            }
            return row(
                server.role() + " " + term + " " + position() + " " + server.heldTerm + " 0 0 "
                    + server.connections,
                "-");
          case "BEGIN":
            if (f.length == 1 && !isPrimary) {
              return error("READONLY");
            }
            readOnly = f.length > 1;
            state = 'T';
            return done("-");
          case "ROLLBACK":
            state = 'I';
            written.clear();
            return done("-");
          case "COMMIT":
            boolean failed = state == 'E';
            state = 'I';
            if (failed) {
              written.clear();
              return error("ABORTED");
            }
            commit();
            return done(signature(id));
          case "SET":
            return done("-");
          case "PREPARE":
            prepared.put(f[1], f[2].split(" ", 2)[0]);
            return done("-");
          case "DISCARD":
            prepared.clear();
            return done("-");
          case "READ":
            return row(items.getOrDefault(f[1], "none"), signature(id));
          case "WRITE":
            return write(id, isPrimary, f[1], f.length > 2 ? f[2] : "");
          case "EXECUTE":
            String mode = prepared.get(f[1]);
            String rest = f.length > 2 ? f[2] : "";
            if (mode == null) {
              return error("UNPREPARED");
            }
            return mode.equals("READ")
                ? row(items.getOrDefault(rest.split(" ", 2)[0], "none"), signature(id))
                : write(id, isPrimary, rest.split(" ", 2)[0], rest);
          default:
            return error("MALFORMED");
        }
      }
    }

    private String write(String id, boolean isPrimary, String item, String data) {
      if (!isPrimary || (state == 'T' && readOnly)) {
        return error("READONLY");
      }
      written.put(item, data);
      if (state == 'I') {
        commit();
      }
      return done(signature(id));
    }

    private void commit() {
      if (!written.isEmpty()) {
        items.putAll(written);
        written.clear();
        number++;
      }
    }

    private String signature(String id) {
      return "sig." + server.id + "." + id;
    }

    private String row(String row, String signature) {
      return "DATAROW " + row + Wire.END + done(signature);
    }

    private String done(String signature) {
      return "COMPLETE " + signature + Wire.END + ready();
    }

    private String error(String code) {
      state = state == 'I' ? 'I' : 'E';
      return "ERROR " + code + " " + server.id + Wire.END + ready();
    }

    private String ready() {
      return "READY " + state + " " + position() + Wire.END;
    }
  }
}
