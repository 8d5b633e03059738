package org.chicorylane.internal.home;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RelayCodec;
import org.chicorylane.internal.relay.generated.CompletedMessage;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.Statement;
import org.chicorylane.internal.statement.StatementResult;

/**
 * The statements of the request ledger, a table in each database group that holds the idempotency
 * keys of finished requests with their results.
 *
 * <p>The key is inserted in the same transaction as the work, so a key is there exactly when its
 * work is. Stateless and thread-safe.
 */
final class RequestLedger {

  /** Creates the table where it does not exist. */
  static final String CREATE_TABLE =
      "CREATE TABLE IF NOT EXISTS chicorylane_ledger (idempotency_key varchar(255) PRIMARY KEY,"
          + " fingerprint varchar(64) NOT NULL, results text, created_millis bigint NOT NULL)";

  private static final String INSERT =
      "INSERT INTO chicorylane_ledger (idempotency_key, fingerprint, created_millis)"
          + " VALUES ($1, $2, $3)";
  private static final String STORE =
      "UPDATE chicorylane_ledger SET results = $1 WHERE idempotency_key = $2";
  private static final String FIND =
      "SELECT fingerprint, results FROM chicorylane_ledger WHERE idempotency_key = $1";
  private static final String PURGE = "DELETE FROM chicorylane_ledger WHERE created_millis < $1";

  private RequestLedger() {}

  static Statement insert(String key, String fingerprint, Instant now) {
    return new Statement(
        INSERT, List.of(text(key), text(fingerprint), new SqlValue.Int(now.toEpochMilli())));
  }

  static Statement store(String key, List<StatementResult> results) {
    byte[] bytes =
        CompletedMessage.newBuilder()
            .addAllResults(RelayCodec.resultMessages(results))
            .build()
            .toByteArray();
    return new Statement(
        STORE, List.of(text(Base64.getEncoder().encodeToString(bytes)), text(key)));
  }

  static Statement find(String key) {
    return new Statement(FIND, List.of(text(key)));
  }

  static Statement purge(Instant now, Duration retention) {
    long before = now.minus(retention).toEpochMilli();
    return new Statement(PURGE, List.of(new SqlValue.Int(before)));
  }

  /**
   * Returns the stored results.
   *
   * @throws IllegalArgumentException if {@code stored} was not written by {@link #store}
   */
  static List<StatementResult> decodeResults(String stored) {
    try {
      CompletedMessage message = CompletedMessage.parseFrom(Base64.getDecoder().decode(stored));
      return RelayCodec.toResults(message.getResultsList());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("the ledger holds results that cannot be read", e);
    }
  }

  /** Returns what tells requests of one key apart: a SHA-256 of statements and parameters. */
  static String fingerprint(GroupRequest request) {
    MessageDigest digest = sha256();
    for (Statement s : request.statements()) {
      digest.update(s.sql().getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
      for (SqlValue v : s.parameters()) {
        digest.update(v.toString().getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 1);
      }
    }
    return HexFormat.of().formatHex(digest.digest());
  }

  private static SqlValue text(String value) {
    return new SqlValue.Text(value);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
