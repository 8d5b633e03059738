/** What the cases share: their limit of time and their exit codes. */
final class Case {

  private static final int LIMIT_MILLIS = 110_000;
  private static final int FEWEST_WRITES = 100;

  private Case() {}

  /** Ends the case as one that could not run after a while. */
  static void limit(CaseRecord record) {
    Thread t =
        new Thread(
            () -> {
              Database.sleep(LIMIT_MILLIS);
              cannotRun(record, "not done within " + LIMIT_MILLIS + " ms");
            });
    t.setDaemon(true);
    t.start();
  }

  /** Ends the process with 2. */
  static void cannotRun(CaseRecord record, String reason) {
    record.write(reason);
    System.out.println(reason);
    System.exit(2);
  }

  /**
   * Ends the process with 1 if a rule was broken, 0 if all held, 2 if too little was served to tell.
   *
   * @param happened whether what the case is about took place
   */
  static void finish(Database database, Writers writers, CaseRecord record, boolean happened) {
    writers.stop();
    Database.sleep(500);
    record.write("outcomes " + writers.outcomes());
    database.violations.forEach(v -> record.write("VIOLATION " + v));
    database.violations.forEach(System.out::println);
    System.out.println("outcomes " + writers.outcomes());
    if (!happened || writers.outcomes().getOrDefault("done", 0) < FEWEST_WRITES) {
      cannotRun(record, "too little was served, or the disruption did not take place");
    }
    System.exit(database.violations.isEmpty() ? 0 : 1);
  }
}
