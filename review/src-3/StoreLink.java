import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The link between one machine and the platform's store. While the store gives this machine no
 * responses, a call is not executed, but for the writes of a home record that {@code executes}
 * accepts: "A call that receives no response may have been executed". While the store is down, each
 * call ends with a reset of its connection and is not executed.
 */
final class StoreLink {

  private final ServerSocket listener;
  private final int target;
  private final CaseRecord record;
  private final String name;
  private final Predicate<JsonObject> executes;
  private final Set<Socket> clients = new HashSet<>();
  private volatile boolean silent;
  private volatile boolean down;

  /** Returns whether the response to a home record that was written is sent. */
  volatile Predicate<JsonObject> beforeResponse = written -> true;

  StoreLink(String name, int target, CaseRecord record, Predicate<JsonObject> executes)
      throws IOException {
    this.name = name;
    this.target = target;
    this.record = record;
    this.executes = executes;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void setSilent(boolean newSilent) {
    silent = newSilent;
    record.write(
        newSilent
            ? "the store gives " + name + " no responses"
            : "the store gives " + name + " responses again");
  }

  /** Takes the store down for this machine, or brings it back. */
  void setDown(boolean newDown) {
    down = newDown;
    record.write("the store is " + (newDown ? "down for " : "back for ") + name);
    if (newDown) {
      List<Socket> open;
      synchronized (clients) {
        open = List.copyOf(clients);
      }
      open.forEach(StoreLink::reset);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It was closed already.
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket client = listener.accept();
        synchronized (clients) {
          clients.add(client);
        }
        daemon(() -> relay(client));
      }
    } catch (IOException e) {
      // The case has ended.
    }
  }

  /** Relays the one call that an instance makes on a connection. */
  private void relay(Socket client) {
    try (client) {
      client.setTcpNoDelay(true);
      InputStream in = client.getInputStream();
      String head = readHead(in);
      if (head.isEmpty()) {
        return;
      }
      byte[] body = in.readNBytes(contentLength(head));
      JsonObject written = homeRecordIn(body);
      if (down) {
        note(written, null, true);
        reset(client);
        return;
      }
      boolean lost = silent;
      if (!lost || (written != null && executes.test(written))) {
        byte[] answer = call(head, body);
        boolean sends = !lost && !silent && (written == null || beforeResponse.test(written));
        note(written, answer, !sends);
        if (sends) {
          client.getOutputStream().write(answer);
          return;
        }
      } else {
        note(written, null, true);
      }
      // The connection stays open without a response until the instance gives up.
      in.read();
    } catch (IOException e) {
      // The instance gave up.
    } finally {
      synchronized (clients) {
        clients.remove(client);
      }
    }
  }

  private void note(JsonObject written, byte[] answer, boolean lost) {
    if (written == null) {
      return;
    }
    String status =
        answer == null
            ? "not executed"
            : "executed, " + new String(answer, 0, 12, StandardCharsets.ISO_8859_1);
    record.write(
        name + " writes the home record: home " + written.getAsJsonObject("home").get("name")
            + ", primary " + written.get("primary") + ", term " + written.get("term")
            + ", promoting " + written.get("promoting") + " -> " + status
            + (lost ? ", no response" : ""));
  }

  private byte[] call(String head, byte[] body) throws IOException {
    try (Socket server = new Socket(InetAddress.getLoopbackAddress(), target)) {
      String once = head.substring(0, head.length() - 2) + "Connection: close\r\n\r\n";
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(once.getBytes(StandardCharsets.ISO_8859_1));
      request.writeBytes(body);
      server.getOutputStream().write(request.toByteArray());
      return server.getInputStream().readAllBytes();
    }
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      head.append((char) b);
      if (b == '\n' && head.length() > 3 && head.charAt(head.length() - 3) == '\n') {
        return head.toString();
      }
    }
    return "";
  }

  private static int contentLength(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase().startsWith("content-length:")) {
        return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return 0;
  }

  /** Returns the home record that a call writes; null if it writes none. */
  private static JsonObject homeRecordIn(byte[] body) {
    if (body.length == 0) {
      return null;
    }
    JsonObject call =
        JsonParser.parseString(new String(body, StandardCharsets.UTF_8)).getAsJsonObject();
    if (!call.has("writes")) {
      return null;
    }
    for (JsonElement e : call.getAsJsonArray("writes")) {
      JsonObject row = e.getAsJsonObject();
      if (row.get("key").getAsString().equals("lane/groups/" + Database.NAME)) {
        byte[] value = Base64.getDecoder().decode(row.get("value").getAsString());
        return JsonParser.parseString(new String(value, StandardCharsets.UTF_8))
            .getAsJsonObject();
      }
    }
    return null;
  }

  private static void daemon(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
  }
}
