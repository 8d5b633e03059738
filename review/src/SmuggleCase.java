import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A client sends writes whose data hold a single LF. A message ends with CR LF, so each of them is
 * one request. Checks that the servers run only what clients sent.
 */
final class SmuggleCase {

  private SmuggleCase() {}

  /** Arguments: the repository, the folder of the case, and 1 for trouble or 0. */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = arguments[2].equals("1");
    String separator = trouble ? "\n" : " ";
    Path folder = Files.createTempDirectory("review-case");
    int status = 2;
    try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        Deployment d = new Deployment(Path.of(arguments[0]), folder)) {
      for (String name : List.of("front-1", "front-2", "front-3")) {
        record.line("started " + d.start(name).name);
      }
      Map<String, String> sent = new HashMap<>();
      int served = 0;
      for (int n = 0; n < 6; n++) {
        try (Client client =
            new Client(d.instances.get(n % 3).client, Deployment.PRIMARY, "client-" + n)) {
          String id = "a" + n;
          String text = "WRITE note-" + n + " seen" + separator + "QUERY b" + n + " WRITE plan-" + n + " cancelled";
          sent.put(id, text);
          record.line("client sends QUERY " + id + " " + text + Wire.END);
          List<String> answer = client.ask("QUERY " + id + " " + text);
          record.line("client gets " + answer);
          served += answer.size() == 2 && answer.get(0).startsWith("COMPLETE sig.") ? 1 : 0;
          Thread.sleep(300);
        }
      }
      int broken = 0;
      for (DatabaseGroup.Run run : d.group.runs()) {
        boolean asked = run.text().equals(sent.get(run.requestId()));
        record.line("server " + run.server() + " ran " + run.requestId() + ": " + run.text() + (asked ? "" : "   <- no client sent this"));
        broken += asked ? 0 : 1;
      }
      record.line(served + " of 6 requests were answered with success; " + broken + " statements ran that no client sent");
      status = broken > 0 ? 1 : served < 6 && !trouble ? 2 : 0;
    } catch (Exception e) {
      e.printStackTrace();
    }
    Cleanup.delete(folder);
    System.exit(status);
  }
}
