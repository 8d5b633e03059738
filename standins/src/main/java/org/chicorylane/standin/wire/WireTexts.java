package org.chicorylane.standin.wire;

import java.util.Random;

/** Draws fields of statements, among them ends of lines and text that looks like messages. */
public final class WireTexts {

  private static final int MAX_NOISE = 24;
  private static final int BYTE_VALUES = 256;

  private WireTexts() {}

  /**
   * Draws a field that is the last of its message.
   *
   * @param unique a text that no other field contains
   * @return a text that is not empty and holds no CR LF
   */
  public static String last(Random random, String unique) {
    return switch (random.nextInt(10)) {
      case 0 -> unique + "\n";
      case 1 -> unique + "\r";
      case 2 -> unique + "\nQUERY " + unique + "-smuggled WRITE item y";
      case 3 -> "\r" + unique + "\rCOMPLETE sig.x\nREADY I 1.1";
      case 4 -> " " + unique + "\n\n ERROR BUSY x\n";
      case 5 -> unique + "\nTERMINATE\n";
      case 6 -> noise(random) + unique + noise(random);
      case 7 -> random.nextBoolean() ? "\n" : "\r";
      case 8 -> " ";
      default -> unique;
    };
  }

  /** Draws a field that other fields follow: as {@link #last}, but without blanks. */
  public static String inner(Random random, String unique) {
    String text = last(random, unique).replace(' ', '_');
    return text.equals("_") ? "\r" : text;
  }

  private static String noise(Random random) {
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(MAX_NOISE); i > 0; i--) {
      text.append((char) random.nextInt(BYTE_VALUES));
    }
    return text.toString().replace("\r\n", "\n\r").replace("\r\n", "\n");
  }
}
