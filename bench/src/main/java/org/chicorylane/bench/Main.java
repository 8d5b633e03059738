package org.chicorylane.bench;

/** Runs the chicorylane program. */
public final class Main {
  private Main() {}

  /**
   * Runs the command that the arguments name.
   *
   * @param args the command and its options
   */
  public static void main(String[] args) {
    System.exit(args.length == 0 ? 2 : 0);
  }
}
