import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The primary crashes and comes back with its log as a new server at its address, while the store
 * gives no responses to the machine of the home.
 */
final class UnansweredRecordCase {

  private static final int AWAY_MILLIS = 3_900;
  private static final int LONGEST_SILENCE_MILLIS = 9_000;
  private static final int RECOVERY_MILLIS = 12_000;
  private static final int JUDGED_MILLIS = 8_000;

  private UnansweredRecordCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Files.createTempDirectory("case-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    CaseRecord record = new CaseRecord(Path.of(arguments[1], "record.txt"));
    List<String> command = List.of(arguments[2].split(" "));
    Case.limit(record);
    Fleet fleet = new Fleet(root, folder, command, record);
    Database db = fleet.database;
    AtomicBoolean named = new AtomicBoolean();
    Map<String, StoreLink> links = new HashMap<>();
    for (int i = 1; i <= 3; i++) {
      String name = "instance-" + i;
      StoreLink link =
          new StoreLink(
              name,
              fleet.storePort(),
              record,
              home -> home.get("primary").getAsString().equals("server-d")
                  && named.compareAndSet(false, true));
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
    record.write("the home is " + home);
    StoreLink link = links.get(home);
    if (trouble) {
      link.setSilent(true);
    }
    Database.Server primary;
    synchronized (db) {
      primary = db.primary();
      db.crash(primary);
    }
    Database.sleep(AWAY_MILLIS);
    synchronized (db) {
      primary.id = "server-d";
      primary.born = System.currentTimeMillis();
      db.start(primary);
    }
    if (trouble) {
      long end = System.nanoTime() + (LONGEST_SILENCE_MILLIS - AWAY_MILLIS) * 1_000_000L;
      while (System.nanoTime() < end && !named.get()) {
        Database.sleep(5);
      }
      Database.sleep(100);
      link.setSilent(false);
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
