/** Starts threads that do not keep the program running. */
final class Daemon {

  private Daemon() {}

  static void start(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
  }
}
