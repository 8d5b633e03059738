import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * One replica receives nothing for a while; meanwhile the primary crashes, and the other replica
 * starts again under its id, holding nothing. The primary comes back with its log after 7 s.
 */
final class WipedReplicaCase {

  private WipedReplicaCase() {}

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
    Database.sleep(5_000);
    Database.Server primary = db.servers.get(0);
    Database.Server confirming = db.servers.get(1);
    Database.Server deaf = db.servers.get(2);
    if (trouble) {
      record.write(deaf.id + " receives nothing");
      deaf.deaf = true;
      Database.sleep(2_000);
      synchronized (db) {
        db.crash(primary);
        db.crash(confirming);
      }
      Database.sleep(1_000);
      db.startEmpty(confirming);
      Database.sleep(3_500);
      record.write(deaf.id + " receives again");
      deaf.deaf = false;
      Database.sleep(2_500);
      db.start(primary);
    }
    Database.sleep(12_000);

    Case.finish(db, writers, record, true);
  }
}
