package org.chicorylane.internal.proxy;

import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WriteResult;

/** Calls to the key-value store in messages between instances. Stateless. */
final class StoreMessages {

  private static final String CONDITION = "condition";
  private static final String PUT = "put";
  private static final String DELETE = "delete";
  private static final String APPLIED = "applied";
  private static final String CONFLICT = "conflict";
  private static final String REFUSED = "refused";
  private static final String NOT_APPLIED = "not-applied";

  /** Texts that stand for one entry, and for one part of a transaction. */
  private static final int FIELDS = 3;

  private StoreMessages() {}

  static MeshQuestion.Builder range(String prefix) {
    return question(PeerQuestion.STORE_RANGE).addArguments(prefix);
  }

  static MeshQuestion.Builder transact(StoreTransaction transaction) {
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

  static StoreTransaction transaction(MeshQuestion question) {
    StoreTransaction.Builder transaction = StoreTransaction.builder();
    for (int i = 0; i + FIELDS <= question.getArgumentsCount(); i += FIELDS) {
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

  static MeshReply.Builder reply(ReadResult result) {
    MeshReply.Builder reply = MeshReply.newBuilder();
    if (result instanceof ReadResult.Read read) {
      reply.setYes(true).setRevision(read.revision());
      addEntries(reply, read.entries());
    }
    return reply;
  }

  static MeshReply.Builder reply(WriteResult result) {
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

  static ReadResult readResult(MeshReply reply) {
    return reply.getYes()
        ? new ReadResult.Read(entries(reply, 0), reply.getRevision())
        : new ReadResult.Unavailable("the store is away from the other instance too");
  }

  static WriteResult writeResult(MeshReply reply) {
    String kind = reply.getResultsCount() == 0 ? "" : reply.getResults(0);
    return switch (kind) {
      case APPLIED -> new WriteResult.Applied(reply.getRevision());
      case CONFLICT -> new WriteResult.Conflict(entries(reply, 1), reply.getRevision());
      case REFUSED -> new WriteResult.Refused(reply.getResults(1));
      default ->
          new WriteResult.Unavailable(
              "no answer through another instance", !kind.equals(NOT_APPLIED));
    };
  }

  private static List<KeyValueEntry> entries(MeshReply reply, int from) {
    List<KeyValueEntry> entries = new ArrayList<>();
    for (int i = from; i + FIELDS <= reply.getResultsCount(); i += FIELDS) {
      entries.add(
          new KeyValueEntry(
              reply.getResults(i),
              reply.getResults(i + 1),
              Long.parseLong(reply.getResults(i + 2))));
    }
    return entries;
  }
}
