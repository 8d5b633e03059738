import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The process of a home is killed, and the store goes down while its successor records itself as the
 * new home. Later, when all is well again, the primary is lost for good.
 */
final class StandingInCase {

  private static final int UNANSWERED_MILLIS = 100;
  private static final int AWAY_MILLIS = 3_500;
  private static final int DOWN_MILLIS = 5_000;
  private static final int CALM_MILLIS = 10_000;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int JUDGED_MILLIS = 8_000;

  private StandingInCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Files.createTempDirectory("case-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    CaseRecord record = new CaseRecord(Path.of(arguments[1], "record.txt"));
    List<String> command = List.of(arguments[2].split(" "));
    Case.limit(record);
    Fleet fleet = new Fleet(root, folder, command, record);
    Database db = fleet.database;
    Map<String, StoreLink> links = new HashMap<>();
    for (int i = 1; i <= 3; i++) {
      String name = "instance-" + i;
      StoreLink link = new StoreLink(name, fleet.storePort(), record, written -> false);
      links.put(name, link);
      fleet.start(name, fleet.platformPort(), link.address());
    }
    if (fleet.awaitHome(30_000) == null) {
      Case.cannotRun(record, "no home within 30 s");
    }
    Database.sleep(4_000);
    Writers writers = new Writers(db, record);
    fleet.instances.forEach(i -> writers.start(i));
    Database.sleep(3_000);
    String home = fleet.homeRecord().getAsJsonObject("home").get("name").getAsString();
    String next = fleet.homeRecord().getAsJsonObject("successor").get("name").getAsString();
    record.write("the home is " + home + ", its successor " + next);
    AtomicBoolean written = new AtomicBoolean(!trouble);
    if (trouble) {
      links.get(next).beforeResponse =
          r -> {
            String recorded = r.getAsJsonObject("home").get("name").getAsString();
            if (!recorded.equals(next) || !written.compareAndSet(false, true)) {
              return true;
            }
            Database.sleep(UNANSWERED_MILLIS);
            links.values().forEach(link -> link.setDown(true));
            return false;
          };
    }
    Fleet.Instance killed =
        fleet.instances.stream().filter(i -> i.name.equals(home)).findFirst().orElseThrow();
    killed.process().destroyForcibly().waitFor();
    record.write("the process of " + home + " is killed");
    Database.sleep(AWAY_MILLIS);
    fleet.startProcess(killed);
    if (trouble) {
      Database.sleep(DOWN_MILLIS - AWAY_MILLIS);
      links.values().forEach(link -> link.setDown(false));
    }
    if (!written.get()) {
      Case.cannotRun(record, "the successor did not record itself as the home");
    }
    Database.sleep(CALM_MILLIS);
    Map<String, Integer> calm = writers.outcomes();
    Database.sleep(2_000);
    record.write("all is well again: " + writers.outcomesSince(calm));
    record.write("final fault");
    synchronized (db) {
      Database.Server primary = db.primary();
      db.crash(primary);
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
