package org.chicorylane.internal.finding;

/**
 * A fault in a document that was read.
 *
 * @param source the name of the file or resource
 * @param path the JSON path of the fault, such as {@code $.groups[2].servers}
 * @param message the fault, with the invalid value unless it is secret
 */
public record Finding(String source, String path, String message) {

  /** Returns the finding as one line of text. */
  public String toLine() {
    return source + ": " + message + " at " + path;
  }
}
