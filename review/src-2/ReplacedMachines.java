import java.io.IOException;

/** Machines are replaced one after the other; the last one is the home's. */
final class ReplacedMachines extends RecoveryCase {

  private static final int REPLACED = 10;
  private static final int MACHINES = 3;

  /** Time between the loss of a machine and the start of the one in its place. */
  private static final long GAP_MILLIS = 1_000;

  private static final long READY_MILLIS = 15_000;

  private int started = MACHINES;

  private ReplacedMachines() {
    super(1, 0.25, false);
  }

  public static void main(String[] arguments) {
    new ReplacedMachines().run(arguments[0]);
  }

  @Override
  void disrupt(Site site, Fleet fleet, CaseRecord record)
      throws IOException, InterruptedException {
    for (int i = 0; i < REPLACED; i++) {
      replace(findInstance(fleet, false), fleet, record);
    }
    replace(findInstance(fleet, true), fleet, record);
  }

  /** Returns the oldest instance that is, or is not, the home of the group. */
  private static Fleet.Instance findInstance(Fleet fleet, boolean isHome)
      throws IOException, InterruptedException {
    for (int attempt = 0; attempt < 50; attempt++) {
      for (Fleet.Instance instance : fleet.live()) {
        if (Fleet.isHome(instance) == isHome) {
          return instance;
        }
      }
      Thread.sleep(100);
    }
    throw new IOException("no instance is the home of the group");
  }

  private void replace(Fleet.Instance instance, Fleet fleet, CaseRecord record)
      throws IOException, InterruptedException {
    record.say(
        "machine " + instance.name + " is gone" + (Fleet.isHome(instance) ? ", the home" : ""));
    fleet.remove(instance);
    Thread.sleep(GAP_MILLIS);
    started++;
    Fleet.Instance next = fleet.start(nameOf(started), "zone-" + (started % MACHINES));
    long end = System.nanoTime() + READY_MILLIS * 1_000_000;
    while (!Fleet.isReady(next)) {
      if (System.nanoTime() > end) {
        throw new IOException(next.name + " did not become ready");
      }
      Thread.sleep(50);
    }
    record.line("machine " + next.name + " has come");
  }
}
