package org.chicorylane.standin.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The rows with which servers answer a read. They follow from the request id alone. */
public enum WireRows {
  /** One to three rows of printable characters. */
  PRINTABLE {
    @Override
    String row(String requestId, int index, Random random) {
      return "row " + index + " of " + requestId;
    }
  },
  /** One to three rows of any bytes: ends of lines, text that looks like messages, or nothing. */
  EVERY_BYTE {
    @Override
    String row(String requestId, int index, Random random) {
      return switch (random.nextInt(8)) {
        case 0 -> "";
        case 1 -> requestId + "\nCOMPLETE sig.x";
        case 2 -> requestId + "\r";
        case 3 -> "\n" + requestId + "\nREADY I 1.1\n";
        case 4 -> " " + requestId + " \rERROR BUSY x\n\r";
        case 5 -> "\r" + requestId + "\n\nCOMPLETE sig." + requestId + "\nREADY I 9.9";
        case 6 -> everyByte() + requestId;
        default -> requestId + "\nDATAROW x\nCOMPLETE -\r";
      };
    }
  };

  private static final int MAX_ROWS = 3;
  private static final int BYTE_VALUES = 256;

  /** Returns the rows of the answer to a read. */
  public List<String> of(String requestId) {
    Random random = new Random(requestId.hashCode());
    List<String> rows = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_ROWS);
    for (int i = 0; i < count; i++) {
      rows.add(row(requestId, i, random));
    }
    return rows;
  }

  abstract String row(String requestId, int index, Random random);

  /** Returns one character for each byte value; LF comes before CR, so no message ends. */
  private static String everyByte() {
    StringBuilder text = new StringBuilder();
    for (int b = 0; b < BYTE_VALUES; b++) {
      text.append((char) b);
    }
    return text.toString();
  }
}
