package org.chicorylane.internal.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WatchListener;
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
  private static final String ALL = "all";
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

  /** Returns the question for the changes under {@code prefix} after {@code revision}. */
  static MeshQuestion.Builder encodeWatch(String prefix, long revision) {
    return question(PeerQuestion.STORE_WATCH)
        .addArguments(prefix)
        .addArguments(Long.toString(revision));
  }

  /** Returns the reply with all entries under a prefix, as of {@code revision}. */
  static MeshReply.Builder encodeAll(Collection<KeyValueEntry> entries, long revision) {
    MeshReply.Builder reply = MeshReply.newBuilder().setYes(true).setRevision(revision);
    addEntries(reply.addResults(ALL), entries);
    return reply;
  }

  /** Returns the reply with the changes up to {@code revision}. */
  static MeshReply.Builder encodeChanges(List<WatchListener.Change> changes, long revision) {
    MeshReply.Builder reply = MeshReply.newBuilder().setYes(true).setRevision(revision);
    for (WatchListener.Change change : changes) {
      reply.addResults(change.deleted() ? DELETE : PUT);
      addEntries(reply, List.of(change.entry()));
    }
    return reply;
  }

  /** Returns whether a reply to {@link #encodeWatch} has all entries instead of changes. */
  static boolean hasAll(MeshReply reply) {
    return reply.getResultsCount() > 0 && reply.getResults(0).equals(ALL);
  }

  /** Returns all entries in a reply to {@link #encodeWatch}. */
  static List<KeyValueEntry> decodeAll(MeshReply reply) {
    return decodeEntries(reply, 1);
  }

  /** Returns the changes in a reply to {@link #encodeWatch}. */
  static List<WatchListener.Change> decodeChanges(MeshReply reply) {
    List<WatchListener.Change> changes = new ArrayList<>();
    for (int i = 0; i + TEXTS_PER_ITEM < reply.getResultsCount(); i += 1 + TEXTS_PER_ITEM) {
      boolean deleted = reply.getResults(i).equals(DELETE);
      changes.add(new WatchListener.Change(decodeEntry(reply, i + 1), deleted));
    }
    return changes;
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

  private static void addEntries(MeshReply.Builder reply, Collection<KeyValueEntry> entries) {
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
      entries.add(decodeEntry(reply, i));
    }
    return entries;
  }

  private static KeyValueEntry decodeEntry(MeshReply reply, int from) {
    return new KeyValueEntry(
        reply.getResults(from),
        reply.getResults(from + 1),
        Long.parseLong(reply.getResults(from + 2)));
  }
}
