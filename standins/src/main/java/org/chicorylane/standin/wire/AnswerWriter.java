package org.chicorylane.standin.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Writes the answers of one connection, whole and one after the other, with their faults. */
final class AnswerWriter {

  /** A copy that waits for requests. */
  private static final class HeldCopy {
    private final byte[] bytes;
    private int requestsLeft;

    HeldCopy(byte[] bytes, int requestsLeft) {
      this.bytes = bytes;
      this.requestsLeft = requestsLeft;
    }
  }

  private final OutputStream out;
  private final AnswerFaults faults;
  private final ScheduledExecutorService timer;
  private final BooleanSupplier answers;
  private final List<HeldCopy> held = new ArrayList<>();

  /**
   * Creates a writer.
   *
   * @param timer writes late copies
   * @param answers tells whether the server answers now; a late copy is dropped if not
   */
  AnswerWriter(
      OutputStream out,
      AnswerFaults faults,
      ScheduledExecutorService timer,
      BooleanSupplier answers) {
    this.out = out;
    this.faults = faults;
    this.timer = timer;
    this.answers = answers;
  }

  /** Writes the copies that waited for the request which has just been read. */
  synchronized void onRequest() throws IOException {
    for (Iterator<HeldCopy> i = held.iterator(); i.hasNext(); ) {
      HeldCopy copy = i.next();
      copy.requestsLeft--;
      if (copy.requestsLeft == 0) {
        i.remove();
        writePieces(copy.bytes);
      }
    }
  }

  /** Writes an answer, and its copy if one is drawn. */
  synchronized void write(String request, String answer) throws IOException {
    byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
    AnswerFaults.CopyDraw copy = faults.drawCopy(request, answer);
    writePieces(bytes);
    if (!copy.isCopied()) {
      return;
    }
    if (copy.requests() > 0) {
      held.add(new HeldCopy(bytes, copy.requests()));
    } else if (copy.millis() > 0) {
      timer.schedule(() -> writeLate(bytes), copy.millis(), TimeUnit.MILLISECONDS);
    } else {
      writePieces(bytes);
    }
  }

  private synchronized void writeLate(byte[] bytes) {
    if (!answers.getAsBoolean()) {
      return;
    }
    try {
      writePieces(bytes);
    } catch (IOException e) {
      // The connection has ended, and its reader notices that too.
      return;
    }
  }

  private void writePieces(byte[] bytes) throws IOException {
    int written = 0;
    while (written < bytes.length) {
      int length = faults.drawPiece(bytes.length - written);
      out.write(bytes, written, length);
      out.flush();
      written += length;
    }
  }
}
