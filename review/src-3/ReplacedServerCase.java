import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A replica is replaced as planned. Later all processes of the system are killed, and the primary
 * is lost for good at the same moment.
 */
final class ReplacedServerCase {

  private static final int RECOVERY_MILLIS = 12_000;
  private static final int DRAIN_MILLIS = 7_000;
  private static final int JUDGED_MILLIS = 8_000;

  private ReplacedServerCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Files.createTempDirectory("case-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    CaseRecord record = new CaseRecord(Path.of(arguments[1], "record.txt"));
    List<String> command = List.of(arguments[2].split(" "));
    Case.limit(record);
    Fleet fleet = new Fleet(root, folder, command, record);
    for (int i = 1; i <= 3; i++) {
      fleet.start("instance-" + i, fleet.platformPort());
    }
    if (fleet.awaitHome(30_000) == null) {
      Case.cannotRun(record, "no home within 30 s");
    }
    Database.sleep(3_000);
    Database db = fleet.database;
    Writers writers = new Writers(db, record);
    fleet.instances.forEach(i -> writers.start(i));
    Database.sleep(2_000);
    if (trouble) {
      db.add("server-d");
      Database.sleep(2_000);
      Database.Server replaced = db.servers.get(2);
      replaced.draining = true;
      record.write(replaced.id + " reports draining");
      Database.sleep(DRAIN_MILLIS + 500);
      db.remove(replaced);
      Database.sleep(5_000);
    }
    record.write("final fault");
    for (Fleet.Instance instance : fleet.instances) {
      instance.process().destroyForcibly().waitFor();
    }
    synchronized (db) {
      db.crash(db.primary());
    }
    Database.sleep(1_000);
    for (Fleet.Instance instance : fleet.instances) {
      fleet.startProcess(instance);
    }
    Database.sleep(RECOVERY_MILLIS);
    Map<String, Integer> before = writers.outcomes();
    Database.sleep(JUDGED_MILLIS);
    Map<String, Integer> judged = writers.outcomesSince(before);
    int all = judged.values().stream().mapToInt(n -> n).sum();
    int served = judged.getOrDefault("done", 0);
    record.write("later than recovery_s: " + served + " of " + all + " served, " + judged);
    if (4 * served < all) {
      db.violations.add("RECOVER: " + served + " of " + all + " requests were served");
    }
    Case.finish(db, writers, record, all > 0);
  }
}
