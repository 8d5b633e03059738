package org.chicorylane.standin.database;

/** What a statement does, told by its first word. */
enum StatementKind {
  READ,
  LOCKING_READ,
  INSERT,
  UPDATE,
  DELETE,
  DEFINITION,
  CONTROL,
  EMPTY;

  /** Returns the kind of an ordinary statement that begins with {@code keyword}. */
  static StatementKind ofKeyword(String keyword) {
    return switch (keyword) {
      case "" -> EMPTY;
      case "INSERT", "MERGE" -> INSERT;
      case "UPDATE" -> UPDATE;
      case "DELETE" -> DELETE;
      case "SELECT", "VALUES", "WITH", "TABLE", "EXPLAIN" -> READ;
      default -> DEFINITION;
    };
  }

  /** Returns whether a read-only transaction refuses it. */
  boolean locksOrWrites() {
    return this == LOCKING_READ || writes();
  }

  /** Returns whether the log carries it. */
  boolean writes() {
    return this == INSERT || this == UPDATE || this == DELETE || this == DEFINITION;
  }

  /** Returns the tag that reports its completion. */
  String tag(String keyword, long count) {
    return switch (this) {
      case INSERT -> "INSERT 0 " + count;
      case UPDATE, DELETE -> name() + " " + count;
      case DEFINITION -> keyword;
      default -> "SELECT " + count;
    };
  }
}
