package org.chicorylane.standin.wire;

import java.util.Random;

/**
 * What a server does wrong with its answers: it sends whole ones twice, refuses statements, or
 * writes answers in small pieces. Nothing by default; each fault can be set while the server runs.
 * Thread-safe.
 */
public final class AnswerFaults {

  /** When the second copy of an answer is sent. */
  public enum CopyTime {
    /** Right behind the first one. */
    AT_ONCE(0, 0, 0),
    /** 1 to 60 ms later. */
    SOON(1, 60, 0),
    /** 100 to 600 ms later, when the connection is often idle. */
    LATE(100, 600, 0),
    /** Between the next request on the connection and the answer to it. */
    UNDER_NEXT_REQUEST(0, 0, 1),
    /** Between the fourth request after it on the connection and the answer to that one. */
    UNDER_LATER_REQUEST(0, 0, 4);

    private final int minMillis;
    private final int maxMillis;
    private final int requests;

    CopyTime(int minMillis, int maxMillis, int requests) {
      this.minMillis = minMillis;
      this.maxMillis = maxMillis;
      this.requests = requests;
    }

    /** Returns the number of requests after which the copy is sent; 0 if it waits for none. */
    int requests() {
      return requests;
    }

    /** Draws a delay in milliseconds. */
    int drawMillis(Random random) {
      return minMillis + random.nextInt(maxMillis - minMillis + 1);
    }
  }

  /** Which answers are sent twice. */
  public enum CopiedAnswers {
    ALL {
      @Override
      boolean matches(String request, String answer) {
        return true;
      }
    },
    /** Those without a signature: errors, {@code COMPLETE -}, and the greeting. */
    UNSIGNED {
      @Override
      boolean matches(String request, String answer) {
        return !answer.startsWith("COMPLETE sig.") && !answer.contains("\r\nCOMPLETE sig.");
      }
    },
    ERRORS {
      @Override
      boolean matches(String request, String answer) {
        return answer.startsWith("ERROR ");
      }
    },
    GREETING {
      @Override
      boolean matches(String request, String answer) {
        return request.startsWith("STARTUP ");
      }
    },
    STATUS {
      @Override
      boolean matches(String request, String answer) {
        return request.equals("QUERY - STATUS");
      }
    };

    abstract boolean matches(String request, String answer);
  }

  private final Random random;
  private double copyShare;
  private CopyTime copyTime = CopyTime.AT_ONCE;
  private CopiedAnswers copiedAnswers = CopiedAnswers.ALL;
  private double refusalShare;
  private boolean splitting;
  private long copies;

  /**
   * Creates faults that do nothing yet.
   *
   * @param seed determines which answers are concerned
   */
  public AnswerFaults(long seed) {
    random = new Random(seed);
  }

  /** Sends a share of the chosen answers twice; 0 ends it. */
  public synchronized void copy(double share, CopiedAnswers answers, CopyTime time) {
    copyShare = share;
    copiedAnswers = answers;
    copyTime = time;
  }

  /** Refuses a share of the reads, writes and begins with {@code BUSY}; 0 ends it. */
  public synchronized void refuse(double share) {
    refusalShare = share;
  }

  /** Sets whether answers are written in pieces of a few bytes. */
  public synchronized void split(boolean newSplitting) {
    splitting = newSplitting;
  }

  /** Returns the number of answers that were drawn to be sent twice. */
  public synchronized long copies() {
    return copies;
  }

  /** Draws whether an answer is sent twice, and when. */
  synchronized CopyDraw drawCopy(String request, String answer) {
    if (!copiedAnswers.matches(request, answer) || random.nextDouble() >= copyShare) {
      return CopyDraw.NONE;
    }
    copies++;
    return new CopyDraw(true, copyTime.drawMillis(random), copyTime.requests());
  }

  /** Draws whether a statement is refused. */
  synchronized boolean drawRefusal() {
    return random.nextDouble() < refusalShare;
  }

  /** Draws the length of the next piece of an answer, in bytes. */
  synchronized int drawPiece(int length) {
    return splitting ? Math.min(length, 1 + random.nextInt(Math.max(7, length / 4))) : length;
  }

  /**
   * Whether and when an answer is sent twice.
   *
   * @param isCopied whether it is
   * @param millis the delay in milliseconds
   * @param requests the number of further requests that the copy waits for instead
   */
  record CopyDraw(boolean isCopied, int millis, int requests) {
    static final CopyDraw NONE = new CopyDraw(false, 0, 0);
  }
}
