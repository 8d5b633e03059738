import java.util.Random;

/** Each primary in turn refuses a share of the reads and writes with BUSY for some seconds. */
final class RefusedFirstStatement extends RecoveryCase {

  private static final double REFUSED_SHARE = 0.4;
  private static final long REFUSING_MILLIS = 6_500;

  private RefusedFirstStatement() {
    super(3, 0.4, false);
  }

  public static void main(String[] arguments) {
    new RefusedFirstStatement().run(arguments[0]);
  }

  @Override
  void disrupt(Site site, Fleet fleet, CaseRecord record) throws InterruptedException {
    Random random = new Random(7);
    for (Backend primary : site.primaries()) {
      record.say("server " + primary.id + " refuses a share of its statements");
      primary.behaviour =
          word -> {
            synchronized (random) {
              boolean isRefusable = word.equals("READ") || word.equals("WRITE");
              return isRefusable && random.nextDouble() < REFUSED_SHARE
                  ? Backend.Fate.BUSY
                  : Backend.Fate.ANSWER;
            }
          };
      Thread.sleep(REFUSING_MILLIS);
      primary.behaviour = Backend.SOUND;
      record.say("server " + primary.id + " is sound again");
    }
  }
}
