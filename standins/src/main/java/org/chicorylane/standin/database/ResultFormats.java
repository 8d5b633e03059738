package org.chicorylane.standin.database;

import java.util.List;

/** The formats that a client asked for: none, one for all columns or one each; 1 is binary. */
record ResultFormats(List<Integer> codes) {

  static final ResultFormats TEXT = new ResultFormats(List.of());

  boolean binary(int column) {
    if (codes.isEmpty()) {
      return false;
    }
    return codes.get(codes.size() == 1 ? 0 : column) == 1;
  }
}
