package org.chicorylane.internal.passthrough;

import org.chicorylane.internal.passthrough.AnswerMatcher.Match;

/** The kinds of successes, by what distinguishes one from a copy of an earlier one. */
public enum AnswerKind {
  /** A success with a signature that no other answer has. */
  SIGNED {
    @Override
    Match matchSuccess(AnswerMatcher matcher, Answer answer) {
      return matcher.isSignatureKnown(answer) ? matcher.matchKnown(answer) : Match.ANSWER;
    }
  },

  /** The beginning of a transaction. A copy looks the same until the server's log has grown. */
  BEGIN {
    @Override
    Match matchSuccess(AnswerMatcher matcher, Answer answer) {
      return matcher.isKnown(answer) ? Match.MISMATCH : Match.ANSWER;
    }
  },

  /**
   * The success of a command that a server carries out before the next one and does not refuse
   * outside a transaction. A copy may pass as the answer: the answer itself is then taken for a
   * copy.
   */
  ACKNOWLEDGEMENT {
    @Override
    Match matchSuccess(AnswerMatcher matcher, Answer answer) {
      return answer.rows().isEmpty() ? Match.ANSWER : Match.MISMATCH;
    }
  },

  /** The server's status. A copy passes unless a later position was reported here since. */
  STATUS {
    @Override
    Match matchSuccess(AnswerMatcher matcher, Answer answer) {
      return matcher.isOutdated(answer) ? Match.MISMATCH : Match.ANSWER;
    }
  };

  /** Matches a success of this kind that leads to the expected transaction state. */
  abstract Match matchSuccess(AnswerMatcher matcher, Answer answer);
}
