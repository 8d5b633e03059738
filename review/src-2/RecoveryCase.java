import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A case that checks RECOVER: the share of requests that is served from 12 s after a disruption has
 * ended. Serves the same traffic without the disruption if the variable TROUBLE is 0.
 */
abstract class RecoveryCase {

  private static final long LIMIT_MILLIS = 115_000;
  private static final long BEFORE_MILLIS = 6_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long MEASURED_MILLIS = 10_000;
  private static final int INSTANCES = 3;

  private final int services;
  private final double transactionShare;
  private final boolean setsValues;

  /**
   * Creates a case.
   *
   * @param services the number of database services
   * @param transactionShare the share of the operations that are transactions
   * @param setsValues whether each session sets another value before each operation
   */
  RecoveryCase(int services, double transactionShare, boolean setsValues) {
    this.services = services;
    this.transactionShare = transactionShare;
    this.setsValues = setsValues;
  }

  /** Brings the disruption about, and returns when it has ended. */
  abstract void disrupt(Site site, Fleet fleet, CaseRecord record)
      throws IOException, InterruptedException;

  /** Runs the case and ends the program with 1 if the rule was broken, 0 if not, 2 if it failed. */
  void run(String recordFile) {
    Thread watchdog = new Thread(RecoveryCase::endLate);
    watchdog.setDaemon(true);
    watchdog.start();
    int code = 2;
    try (CaseRecord record = new CaseRecord(Path.of(recordFile))) {
      try {
        code = play(record);
      } catch (IOException | InterruptedException | RuntimeException e) {
        record.say("the case could not run: " + e);
      }
    }
    System.exit(code);
  }

  /** Returns the name of the machine that is the n-th to be added. */
  static String nameOf(int n) {
    return "front-hall-gent-" + n;
  }

  private static void endLate() {
    try {
      Thread.sleep(LIMIT_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    System.out.println("the case did not end in time");
    System.exit(2);
  }

  private int play(CaseRecord record) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("chicorylane-review-");
    record.say("settings and logs of the instances: " + folder);
    try (Site site = new Site(services, record);
        Fleet fleet = new Fleet(folder, site.storeAddress(), site.storeAddress())) {
      for (int i = 1; i <= INSTANCES; i++) {
        fleet.start(nameOf(i), "zone-" + i);
      }
      if (!fleet.awaitReady(30_000)) {
        record.say("the instances did not become ready");
        return 2;
      }
      Thread.sleep(5_000);
      Traffic traffic = new Traffic(record, transactionShare, 0.2, setsValues);
      traffic.start(fleet::live, site.databases(), 24, 60);
      Thread.sleep(3_000);
      traffic.take();
      Thread.sleep(BEFORE_MILLIS);
      int[] before = traffic.take();
      record.say("before: served " + before[1] + " of " + before[0]);
      if (before[0] < 100 || before[1] < 0.9 * before[0]) {
        record.say("the system does not serve well before the disruption");
        return 2;
      }
      if ("0".equals(System.getenv("TROUBLE"))) {
        Thread.sleep(MEASURED_MILLIS);
      } else {
        disrupt(site, fleet, record);
      }
      int[] during = traffic.take();
      record.say("during the disruption: served " + during[1] + " of " + during[0]);
      Thread.sleep(RECOVERY_MILLIS);
      traffic.take();
      Thread.sleep(MEASURED_MILLIS);
      int[] after = traffic.take();
      traffic.stop();
      record.say("from 12 s after its end on: served " + after[1] + " of " + after[0]);
      for (Backend s : site.primaries()) {
        record.say(
            "primary " + s.id + ": " + s.connections + " connections, " + s.openTransactions
                + " of them in a transaction");
      }
      for (Fleet.Instance i : fleet.live()) {
        record.say(
            i.name + ": " + (i.process.isAlive() ? "runs" : "has ended") + ", "
                + (Fleet.isReady(i) ? "ready" : "not ready"));
      }
      boolean isBroken = 4 * after[1] < after[0];
      record.say(isBroken ? "RECOVER is broken" : "RECOVER holds");
      return isBroken ? 1 : 0;
    }
  }
}
