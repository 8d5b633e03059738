import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A replica receives nothing for a while. The primary goes dark meanwhile, is replaced by the other
 * replica and comes back; the new primary crashes.
 */
final class CrashedSuccessorCase {

  private static final int DEAF_MILLIS = 6_500;
  private static final int BEFORE_DARK_MILLIS = 1_500;
  private static final int LONGEST_DARK_MILLIS = 4_000;
  private static final int LEADS_MILLIS = 400;

  private CrashedSuccessorCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Files.createTempDirectory("case-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    CaseRecord record = new CaseRecord(Path.of(arguments[1], "record.txt"));
    List<String> command = List.of(arguments[2].split(" "));
    Case.limit(record);
    Fleet fleet = new Fleet(root, folder, command, record);
    fleet.addReadRoute();
    Database db = fleet.database;
    for (int i = 1; i <= 3; i++) {
      fleet.start("instance-" + i, fleet.platformPort());
    }
    if (fleet.awaitHome(30_000) == null) {
      Case.cannotRun(record, "no home within 30 s");
    }
    Database.sleep(4_000);
    Writers writers = new Writers(db, record);
    fleet.instances.forEach(i -> writers.start(i));
    for (int i = 0; i < 8; i++) {
      writers.startReader(fleet.instances.get(i % fleet.instances.size()));
    }
    Database.sleep(4_000);
    Database.Server primary;
    Database.Server deaf;
    synchronized (db) {
      primary = db.primary();
      deaf = db.servers.stream().filter(s -> s != primary).findFirst().orElseThrow();
      deaf.deaf = trouble;
      record.write("server " + deaf.id + (trouble ? " receives nothing" : " receives all"));
    }
    long hears = System.nanoTime() + DEAF_MILLIS * 1_000_000L;
    Database.sleep(BEFORE_DARK_MILLIS);
    db.setDark(primary, true);
    awaitOrder(fleet, 1, LONGEST_DARK_MILLIS);
    db.setDark(primary, false);
    Database.Server next = null;
    while (next == null) {
      Database.sleep(5);
      synchronized (db) {
        next = db.lastPromoted;
      }
    }
    Database.sleep(LEADS_MILLIS);
    synchronized (db) {
      db.crash(next);
    }
    awaitOrder(fleet, 2, 3_000);
    Database.sleep(Math.max(0, (hears - System.nanoTime()) / 1_000_000));
    synchronized (db) {
      deaf.deaf = false;
      record.write("server " + deaf.id + " receives again");
    }
    Database.sleep(10_000);
    Case.finish(db, writers, record, fleet.orders.size() >= 2);
  }

  /** Waits until the platform was called for a number of promotions, or for the given time. */
  private static void awaitOrder(Fleet fleet, int count, int millis) {
    long end = System.nanoTime() + millis * 1_000_000L;
    while (System.nanoTime() < end) {
      synchronized (fleet.database) {
        if (fleet.orders.size() >= count) {
          return;
        }
      }
      Database.sleep(5);
    }
  }
}
