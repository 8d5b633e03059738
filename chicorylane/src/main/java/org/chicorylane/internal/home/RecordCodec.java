package org.chicorylane.internal.home;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.List;
import java.util.Optional;
import org.chicorylane.internal.failover.GroupRecord;
import org.chicorylane.internal.position.TermHistory;

/** The JSON form of a group's record in the key-value service. Thread-safe. */
final class RecordCodec {
  private static final Gson GSON = new Gson();

  /** The shape of the JSON document. */
  private record Document(
      long term,
      String primary,
      String promoter,
      List<TermHistory.Entry> history,
      List<String> voters) {}

  private RecordCodec() {}

  static String toJson(GroupRecord record) {
    return GSON.toJson(
        new Document(
            record.term(),
            record.primary(),
            record.promoter(),
            record.history().entries(),
            record.voters()));
  }

  /** Returns the record, or nothing if {@code json} holds none. */
  static Optional<GroupRecord> fromJson(String json) {
    try {
      Document d = GSON.fromJson(json, Document.class);
      return Optional.of(
          new GroupRecord(
              d.term(), d.primary(), d.promoter(), TermHistory.of(d.history()), d.voters()));
    } catch (JsonParseException | IllegalArgumentException | NullPointerException e) {
      return Optional.empty();
    }
  }
}
