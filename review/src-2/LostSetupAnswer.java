import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** The primary runs everything, and loses the answers to a share of the settings of values. */
final class LostSetupAnswer extends RecoveryCase {

  private static final double LOST_SHARE = 0.2;
  private static final long LOSING_MILLIS = 4_000;

  private LostSetupAnswer() {
    super(1, 0.25, true);
  }

  public static void main(String[] arguments) {
    new LostSetupAnswer().run(arguments[0]);
  }

  @Override
  void disrupt(Site site, Fleet fleet, CaseRecord record) throws InterruptedException {
    Backend primary = site.primaries().get(0);
    Random random = new Random(7);
    AtomicInteger lost = new AtomicInteger();
    record.say("the primary " + primary.id + " loses a share of the answers to SET");
    primary.behaviour =
        word -> {
          synchronized (random) {
            boolean isLost = word.equals("SET") && random.nextDouble() < LOST_SHARE;
            lost.addAndGet(isLost ? 1 : 0);
            return isLost ? Backend.Fate.LOSE_ANSWER : Backend.Fate.ANSWER;
          }
        };
    Thread.sleep(LOSING_MILLIS);
    primary.behaviour = Backend.SOUND;
    record.say("it has lost " + lost + " answers and loses none any more");
  }
}
