import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The home of a group calls for a promotion while its machine is cut off from the platform, and its
 * process is killed. Another instance has the server promoted; then the cut ends.
 */
final class KilledHolderCase {

  private KilledHolderCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Files.createTempDirectory("case-");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    CaseRecord record = new CaseRecord(Path.of(arguments[1], "record.txt"));
    List<String> command = List.of(arguments[2].split(" "));
    Case.limit(record);
    Fleet fleet = new Fleet(root, folder, command, record);
    Map<String, PlatformLink> links = new HashMap<>();
    for (int i = 1; i <= 3; i++) {
      String name = "instance-" + i;
      PlatformLink link = new PlatformLink(name, fleet.platformPort(), record);
      links.put(name, link);
      fleet.start(name, link.port());
    }
    String home = fleet.awaitHome(30_000);
    if (home == null) {
      Case.cannotRun(record, "no home within 30 s");
    }
    Database.sleep(4_000);
    Database db = fleet.database;
    Writers writers = new Writers(db, record);
    fleet.instances.forEach(i -> writers.start(i));
    Database.sleep(3_000);
    home = fleet.homeRecord().getAsJsonObject("home").get("name").getAsString();
    String killed = home;
    record.write("the home is " + killed);
    if (trouble) {
      PlatformLink link = links.get(killed);
      link.cut();
      synchronized (db) {
        db.crash(db.primary());
      }
      if (!link.awaitHolding(10_000)) {
        Case.cannotRun(record, "the home called for no promotion");
      }
      Fleet.Instance instance =
          fleet.instances.stream().filter(i -> i.name.equals(killed)).findFirst().orElseThrow();
      instance.process().destroyForcibly().waitFor();
      record.write("the process of " + killed + " is killed");
      Database.sleep(1_000);
      fleet.startProcess(instance);
      Database.sleep(6_000);
      link.heal();
    } else {
      synchronized (db) {
        db.crash(db.primary());
      }
    }
    Database.sleep(10_000);

    Case.finish(db, writers, record, !fleet.orders.isEmpty());
  }
}
