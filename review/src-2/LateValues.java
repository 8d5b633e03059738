import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The primary loses the answer to the setting of a session value, and the connection is reset some
 * seconds later. Checks PINNED: a write runs with the values that were acknowledged to its client
 * when it sent the write.
 */
final class LateValues {

  private static final long LIMIT_MILLIS = 100_000;
  private static final int ROUNDS = 3;

  /** Time after which a write that was given up has run, if it ever runs. */
  private static final long LATE_RUN_MILLIS = 3_000;

  private final CaseRecord record;
  private final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

  /** The value of tone that was acknowledged when a write was sent, by the write's id. */
  private final Map<String, String> expected = new ConcurrentHashMap<>();

  private final AtomicInteger violations = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();

  private LateValues(CaseRecord record) {
    this.record = record;
  }

  public static void main(String[] arguments) {
    Thread watchdog = new Thread(LateValues::endLate);
    watchdog.setDaemon(true);
    watchdog.start();
    int code = 2;
    try (CaseRecord record = new CaseRecord(Path.of(arguments[0]))) {
      try {
        code = new LateValues(record).play();
      } catch (IOException | InterruptedException | RuntimeException e) {
        record.say("the case could not run: " + e);
      }
    }
    System.exit(code);
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

  private int play() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("chicorylane-review-");
    record.say("settings and logs of the instances: " + folder);
    try (Site site = new Site(1, record);
        Fleet fleet = new Fleet(folder, site.storeAddress(), site.storeAddress())) {
      for (int i = 1; i <= 3; i++) {
        fleet.start(RecoveryCase.nameOf(i), "zone-" + i);
      }
      if (!fleet.awaitReady(30_000)) {
        record.say("the instances did not become ready");
        return 2;
      }
      Thread.sleep(5_000);
      Backend primary = site.primaries().get(0);
      primary.runListener = this::onRun;
      int served = 0;
      for (int round = 0; round < ROUNDS; round++) {
        for (Fleet.Instance instance : fleet.all()) {
          served += play(instance, site, primary, round) ? 1 : 0;
        }
      }
      record.say(
          served + " of " + 3 * ROUNDS + " writes were answered with success, " + runs
              + " were run, " + violations + " of them with other values");
      if (!hasTrouble && served < 3 * ROUNDS) {
        record.say("the system does not serve without the disruption");
        return 2;
      }
      record.say(violations.get() > 0 ? "PINNED is broken" : "PINNED holds");
      return violations.get() > 0 ? 1 : 0;
    }
  }

  /** One session: a value, a write, another value. Returns whether the write succeeded. */
  private boolean play(Fleet.Instance instance, Site site, Backend primary, int round)
      throws IOException, InterruptedException {
    String session = instance.name + "-" + round;
    String first = "first-" + session;
    AtomicBoolean loses = new AtomicBoolean(hasTrouble);
    primary.behaviour =
        word ->
            word.equals("SET") && loses.getAndSet(false)
                ? Backend.Fate.LOSE_ANSWER_AND_RESET
                : Backend.Fate.ANSWER;
    try (WireClient client =
        new WireClient(instance.clientPort, site.databases().get(0), session, record, 8_000)) {
      require(client.ask("SET tone " + first));
      String id = WireClient.newId();
      expected.put(id, first);
      WireClient.Answer answer = client.ask(id, "WRITE 1a4 xkqpwnzd");
      require(client.ask("SET tone second-" + session));
      Thread.sleep(LATE_RUN_MILLIS);
      return answer.succeeded();
    } finally {
      primary.behaviour = Backend.SOUND;
    }
  }

  private static void require(WireClient.Answer answer) throws IOException {
    if (!answer.succeeded()) {
      throw new IOException("a value was not accepted: " + answer.outcome());
    }
  }

  private void onRun(String requestId, Map<String, String> values) {
    String tone = expected.get(requestId);
    if (tone == null) {
      return;
    }
    runs.incrementAndGet();
    if (!tone.equals(values.get("tone"))) {
      violations.incrementAndGet();
      record.say(
          "write " + requestId + " was sent with tone " + tone + " and runs with " + values);
    }
  }
}
