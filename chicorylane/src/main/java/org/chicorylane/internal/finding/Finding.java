package org.chicorylane.internal.finding;

/**
 * One thing wrong with a document that was read.
 *
 * @param source the file or resource
 * @param path the JSON path, such as {@code $.groups[2].servers}
 * @param message what is wrong, quoting the bad value
 */
public record Finding(String source, String path, String message) {

  /** Returns the finding on one line, for people. */
  public String toLine() {
    return source + ": " + message + " at " + path;
  }
}
