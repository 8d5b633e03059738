import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Sessions that run operations one after the other, with a pause between them: single statements,
 * and transactions of two writes. Counts the operations and those that succeeded.
 */
final class Traffic {

  private final CaseRecord record;
  private final List<Thread> threads = new ArrayList<>();
  private final double transactionShare;
  private final double writeShare;
  private final boolean setsValues;
  private volatile boolean stopped;
  private int operations;
  private int served;

  Traffic(CaseRecord record, double transactionShare, double writeShare, boolean setsValues) {
    this.record = record;
    this.transactionShare = transactionShare;
    this.writeShare = writeShare;
    this.setsValues = setsValues;
  }

  void start(
      Supplier<List<Fleet.Instance>> instances,
      List<String> databases,
      int sessions,
      int pauseMillis) {
    for (int i = 0; i < sessions; i++) {
      int number = i;
      Thread thread =
          new Thread(
              () ->
                  loop(
                      instances,
                      databases.get(number / 3 % databases.size()),
                      "c" + number,
                      pauseMillis,
                      new Random(number)));
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void loop(
      Supplier<List<Fleet.Instance>> instances,
      String database,
      String name,
      int pauseMillis,
      Random random) {
    while (!stopped) {
      List<Fleet.Instance> present = instances.get();
      Fleet.Instance instance = present.get(random.nextInt(present.size()));
      try (WireClient client =
          new WireClient(instance.clientPort, database, name, record, 4_000)) {
        boolean open = true;
        while (!stopped && open && !instance.removed) {
          Thread.sleep(1 + random.nextInt(2 * pauseMillis));
          boolean ok = false;
          try {
            if (setsValues) {
              client.ask("SET tone " + item(random));
            }
            ok = random.nextDouble() < transactionShare ? transaction(client, random)
                : client.ask(random.nextDouble() < writeShare
                    ? "WRITE " + item(random) + " xkqpwnzd" : "READ " + item(random)).succeeded();
          } catch (IOException e) {
            open = false;
          }
          count(ok);
        }
      } catch (IOException e) {
        sleep(100);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static String item(Random random) {
    return Integer.toHexString(random.nextInt(2_000));
  }

  private static boolean transaction(WireClient client, Random random)
      throws IOException, InterruptedException {
    client.ask("BEGIN");
    for (int i = 0; i < 2; i++) {
      WireClient.Answer answer = client.ask("WRITE " + item(random) + " xkqpwnzd");
      if (!answer.succeeded()) {
        if (!answer.isIdle()) {
          client.ask("ROLLBACK");
        }
        return false;
      }
      Thread.sleep(5);
    }
    WireClient.Answer answer = client.ask("COMMIT");
    if (!answer.isIdle()) {
      client.ask("ROLLBACK");
    }
    return answer.succeeded();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void count(boolean ok) {
    operations++;
    served += ok ? 1 : 0;
  }

  /** Returns the operations and those of them that were served since the last call. */
  synchronized int[] take() {
    int[] result = {operations, served};
    operations = 0;
    served = 0;
    return result;
  }

  void stop() {
    stopped = true;
  }
}
