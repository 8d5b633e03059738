package org.chicorylane.internal.proxy;

import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WriteResult;

/**
 * Encodes and decodes calls to the key-value store that one instance makes on behalf of another.
 *
 * <p>A transaction is a list of {@link #TEXTS_PER_ITEM} texts per condition or operation: the kind,
 * the key, and the expected revision or the value. Stateless.
 */
final class StoreMessages {

  private static final String CONDITION = "condition";
  private static final String PUT = "put";
  private static final String DELETE = "delete";
  private static final String APPLIED = "applied";
  private static final String CONFLICT = "conflict";
  private static final String REFUSED = "refused";
  private static final String NOT_APPLIED = "not-applied";

  /** Texts per entry in a reply, and per condition or operation in a question. */
  private static final int TEXTS_PER_ITEM = 3;

  private StoreMessages() {}

  /** Returns the question for all entries under {@code prefix}. */
  static MeshQuestion.Builder encodeRange(String prefix) {
    return question(PeerQuestion.STORE_RANGE).addArguments(prefix);
  }

  /** Returns the question that asks a peer to run {@code transaction}. */
  static MeshQuestion.Builder encodeTransaction(StoreTransaction transaction) {
    MeshQuestion.Builder question = question(PeerQuestion.STORE_TRANSACT);
    for (StoreTransaction.Condition c : transaction.conditions()) {
      question
          .addArguments(CONDITION)
          .addArguments(c.key())
          .addArguments(Long.toString(c.expectedModRevision()));
    }
    for (StoreTransaction.Operation operation : transaction.operations()) {
      if (operation instanceof StoreTransaction.Put put) {
        question.addArguments(PUT).addArguments(put.key()).addArguments(put.value());
      } else if (operation instanceof StoreTransaction.Delete delete) {
        question.addArguments(DELETE).addArguments(delete.key()).addArguments("");
      }
    }
    return question;
  }

  private static MeshQuestion.Builder question(PeerQuestion kind) {
    return MeshQuestion.newBuilder().setKind(PeerQuestion.NUMBERS.number(kind));
  }

  /** Returns the transaction that {@code question} asks for. */
  static StoreTransaction decodeTransaction(MeshQuestion question) {
    StoreTransaction.Builder transaction = StoreTransaction.builder();
    for (int i = 0; i + TEXTS_PER_ITEM <= question.getArgumentsCount(); i += TEXTS_PER_ITEM) {
      String key = question.getArguments(i + 1);
      String argument = question.getArguments(i + 2);
      switch (question.getArguments(i)) {
        case CONDITION -> transaction.expect(key, Long.parseLong(argument));
        case PUT -> transaction.put(key, argument);
        default -> transaction.delete(key);
      }
    }
    return transaction.build();
  }

  /** Returns the reply with the result of a read. */
  static MeshReply.Builder encodeReply(ReadResult result) {
    MeshReply.Builder reply = MeshReply.newBuilder();
    if (result instanceof ReadResult.Read read) {
      reply.setYes(true).setRevision(read.revision());
      addEntries(reply, read.entries());
    }
    return reply;
  }

  /** Returns the reply with the result of a transaction. */
  static MeshReply.Builder encodeReply(WriteResult result) {
    MeshReply.Builder reply = MeshReply.newBuilder();
    if (result instanceof WriteResult.Applied applied) {
      return reply.setYes(true).addResults(APPLIED).setRevision(applied.revision());
    }
    if (result instanceof WriteResult.Conflict conflict) {
      reply.setYes(true).addResults(CONFLICT).setRevision(conflict.revision());
      addEntries(reply, conflict.current());
      return reply;
    }
    if (result instanceof WriteResult.Refused refused) {
      return reply.setYes(true).addResults(REFUSED).addResults(refused.reason());
    }
    boolean mayHaveApplied = ((WriteResult.Unavailable) result).mayHaveApplied();
    return mayHaveApplied ? reply : reply.addResults(NOT_APPLIED);
  }

  private static void addEntries(MeshReply.Builder reply, List<KeyValueEntry> entries) {
    for (KeyValueEntry e : entries) {
      reply.addResults(e.key()).addResults(e.value()).addResults(Long.toString(e.modRevision()));
    }
  }

  /** Returns the result of a read; unavailable if the peer's read failed. */
  static ReadResult decodeRead(MeshReply reply) {
    return reply.getYes()
        ? new ReadResult.Read(decodeEntries(reply, 0), reply.getRevision())
        : new ReadResult.Unavailable("no other instance could read the store");
  }

  /**
   * Returns the result of a transaction. An empty reply means that the transaction may have been
   * applied.
   */
  static WriteResult decodeWrite(MeshReply reply) {
    String kind = reply.getResultsCount() == 0 ? "" : reply.getResults(0);
    return switch (kind) {
      case APPLIED -> new WriteResult.Applied(reply.getRevision());
      case CONFLICT -> new WriteResult.Conflict(decodeEntries(reply, 1), reply.getRevision());
      case REFUSED -> new WriteResult.Refused(reply.getResults(1));
      default ->
          new WriteResult.Unavailable(
              "no answer through another instance", !kind.equals(NOT_APPLIED));
    };
  }

  private static List<KeyValueEntry> decodeEntries(MeshReply reply, int from) {
    List<KeyValueEntry> entries = new ArrayList<>();
    for (int i = from; i + TEXTS_PER_ITEM <= reply.getResultsCount(); i += TEXTS_PER_ITEM) {
      entries.add(
          new KeyValueEntry(
              reply.getResults(i),
              reply.getResults(i + 1),
              Long.parseLong(reply.getResults(i + 2))));
    }
    return entries;
  }
}
