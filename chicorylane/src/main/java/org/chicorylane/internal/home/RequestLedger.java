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
 * The SQL of the request ledger, a table in each database group that stores the idempotency keys of
 * finished requests with their results.
 *
 * <p>The key is inserted in the same transaction as the request's own statements, so the table has
 * the key exactly when the request was committed. Stateless and thread-safe.
 */
final class RequestLedger {

  /** Creates the table if it does not exist. */
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

  /** Returns a statement that enters the key; it fails if the key is there already. */
  static Statement insert(String key, String fingerprint, Instant now) {
    return new Statement(
        INSERT, List.of(text(key), text(fingerprint), new SqlValue.Int(now.toEpochMilli())));
  }

  /** Returns a statement that stores the results under the key. */
  static Statement store(String key, List<StatementResult> results) {
    byte[] bytes =
        CompletedMessage.newBuilder()
            .addAllResults(RelayCodec.resultMessages(results))
            .build()
            .toByteArray();
    return new Statement(
        STORE, List.of(text(Base64.getEncoder().encodeToString(bytes)), text(key)));
  }

  /** Returns a query for the fingerprint and results of the key. */
  static Statement find(String key) {
    return new Statement(FIND, List.of(text(key)));
  }

  /** Returns a statement that deletes the entries that are older than {@code retention}. */
  static Statement purge(Instant now, Duration retention) {
    long before = now.minus(retention).toEpochMilli();
    return new Statement(PURGE, List.of(new SqlValue.Int(before)));
  }

  /**
   * Decodes the results that {@link #store} wrote.
   *
   * @throws IllegalArgumentException if {@code stored} was not written by {@link #store}
   */
  static List<StatementResult> decodeResults(String stored) {
    try {
      CompletedMessage message = CompletedMessage.parseFrom(Base64.getDecoder().decode(stored));
      return RelayCodec.toResults(message.getResultsList());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(
          "the results stored in the request ledger are not a CompletedMessage", e);
    }
  }

  /**
   * Returns the SHA-256 of the statements and parameters, in hexadecimal. It tells whether a
   * request with a known key is the same request.
   */
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
      throw new IllegalStateException("this Java runtime has no SHA-256 digest", e);
    }
  }
}
