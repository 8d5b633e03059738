import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A primary is to be replaced. The home's promotion call is held up on its way, and the home's
 * process is killed. Checks that the platform never gets a lower fencing token than it has seen.
 */
final class LateOrderCase {

  /** How long the call is held up; the platform's own calls time out after 800 ms. */
  private static final long HELD_MILLIS = 4_000;

  private LateOrderCase() {}

  /** Arguments: the repository, the folder of the case, and 1 for trouble or 0. */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = arguments[2].equals("1");
    Path folder = Files.createTempDirectory("review-case");
    int status = 2;
    try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        Deployment d = new Deployment(Path.of(arguments[0]), folder)) {
      AtomicBoolean killed = new AtomicBoolean();
      List<HoldingLink> links = new CopyOnWriteArrayList<>();
      for (String name : List.of("front-1", "front-2", "front-3")) {
        HoldingLink link = new HoldingLink(d.store.address());
        links.add(link);
        Deployment.Instance i = d.start(name, link.address());
        record.line("started " + name);
        if (trouble) {
          link.hold(
              HELD_MILLIS,
              () -> {
                if (killed.compareAndSet(false, true)) {
                  record.line("the promotion call of " + name + " is held up for " + HELD_MILLIS + " ms");
                  links.forEach(l -> l.hold(0, () -> {}));
                  pause(100);
                  i.process.destroyForcibly();
                  record.line("killed " + name);
                }
              });
        }
      }
      Thread.sleep(5_000);
      d.instances.forEach(i -> record.line(i.name + " is ready: " + Deployment.isReady(i)));
      record.line("server " + d.group.servers.get(0).id + " reports that it is draining");
      d.register(d.group.servers.get(0), "draining");
      d.store.awaitPromotions(trouble ? 2 : 1, 30_000);
      Thread.sleep(HELD_MILLIS + 3_000);
      List<Store.Promotion> calls = d.store.promotions();
      long highest = 0;
      int lower = 0;
      for (Store.Promotion call : calls) {
        boolean isLower = call.token() < highest;
        record.line(
            record.at(call.nanos()) + " ms: platform got the promotion of " + call.id() + " from "
                + call.holder() + " with token " + call.token()
                + (isLower ? "   <- lower than " + highest : ""));
        lower += isLower ? 1 : 0;
        highest = Math.max(highest, call.token());
      }
      status = lower > 0 ? 1 : calls.isEmpty() || (trouble && calls.size() < 2) ? 2 : 0;
    } catch (Exception e) {
      e.printStackTrace();
    }
    Cleanup.delete(folder);
    System.exit(status);
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
