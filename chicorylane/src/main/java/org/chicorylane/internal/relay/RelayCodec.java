package org.chicorylane.internal.relay;

import java.math.BigDecimal;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.generated.CompletedMessage;
import org.chicorylane.internal.relay.generated.NotRunMessage;
import org.chicorylane.internal.relay.generated.OutcomeMessage;
import org.chicorylane.internal.relay.generated.PositionMessage;
import org.chicorylane.internal.relay.generated.RejectedMessage;
import org.chicorylane.internal.relay.generated.RequestMessage;
import org.chicorylane.internal.relay.generated.ResultMessage;
import org.chicorylane.internal.relay.generated.RowMessage;
import org.chicorylane.internal.relay.generated.StatementMessage;
import org.chicorylane.internal.relay.generated.UnknownMessage;
import org.chicorylane.internal.relay.generated.ValueMessage;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.Statement;
import org.chicorylane.internal.statement.StatementResult;

/**
 * Converts requests and outcomes to the messages that instances exchange, and back.
 *
 * <pre>{@code
 * RequestMessage message = RelayCodec.requestMessage(request, now);
 * GroupRequest same = RelayCodec.toRequest(message, now);
 * }</pre>
 *
 * <p>Deadlines are sent as the time left, so instances need no synchronized clocks. Stateless and
 * thread-safe.
 */
public final class RelayCodec {
  private RelayCodec() {}

  /** Returns the message for {@code request}; its time left is counted from {@code now}. */
  public static RequestMessage requestMessage(GroupRequest request, Instant now) {
    RequestMessage.Builder b =
        RequestMessage.newBuilder()
            .setRequestId(request.requestId())
            .setGroup(request.group())
            .setKind(request.kind().name())
            .setRequestClass(request.requestClass())
            .setRepeatable(request.repeatable())
            .setDeadlineMillis(millisLeft(request.deadline(), now));
    for (Statement s : request.statements()) {
      StatementMessage.Builder sb = StatementMessage.newBuilder().setSql(s.sql());
      s.parameters().forEach(v -> sb.addParameters(valueMessage(v)));
      b.addStatements(sb);
    }
    if (request.maximumAge() != null) {
      b.setMaximumAgeMillis(request.maximumAge().toMillis());
    }
    if (request.sessionId() != null) {
      b.setSessionId(request.sessionId());
    }
    if (request.floor() != null) {
      b.setFloor(positionMessage(request.floor()));
    }
    if (request.idempotencyKey() != null) {
      b.setIdempotencyKey(request.idempotencyKey());
    }
    if (request.transaction() != null) {
      b.setTransaction(request.transaction());
    }
    return b.build();
  }

  /**
   * Returns the request in {@code message}; its deadline is {@code now} plus the time left.
   *
   * @throws IllegalArgumentException if the message names an unknown kind or an empty statement
   */
  public static GroupRequest toRequest(RequestMessage message, Instant now) {
    List<Statement> statements = new ArrayList<>(message.getStatementsCount());
    for (StatementMessage s : message.getStatementsList()) {
      List<SqlValue> parameters = new ArrayList<>(s.getParametersCount());
      s.getParametersList().forEach(v -> parameters.add(toValue(v)));
      statements.add(new Statement(s.getSql(), parameters));
    }
    return new GroupRequest(
        message.getRequestId(),
        message.getGroup(),
        RequestKind.valueOf(message.getKind()),
        statements,
        message.getRequestClass(),
        message.hasMaximumAgeMillis() ? Duration.ofMillis(message.getMaximumAgeMillis()) : null,
        message.hasSessionId() ? message.getSessionId() : null,
        message.hasFloor() ? toPosition(message.getFloor()) : null,
        message.hasIdempotencyKey() ? message.getIdempotencyKey() : null,
        message.getRepeatable(),
        message.hasTransaction() ? message.getTransaction() : null,
        now.plusMillis(message.getDeadlineMillis()));
  }

  /** Returns the message for {@code outcome}. */
  public static OutcomeMessage outcomeMessage(Outcome outcome) {
    OutcomeMessage.Builder b = OutcomeMessage.newBuilder();
    if (outcome instanceof Outcome.Completed c) {
      b.setCompleted(completedMessage(c));
    } else if (outcome instanceof Outcome.Rejected r) {
      b.setRejected(
          RejectedMessage.newBuilder()
              .setSqlState(r.sqlState())
              .setMessage(r.message())
              .setStatementIndex(r.statementIndex()));
    } else if (outcome instanceof Outcome.NotRun n) {
      b.setNotRun(
          NotRunMessage.newBuilder()
              .setReason(n.reason().name())
              .setRetryAfterMillis(n.retryAfter().toMillis())
              .setDetail(n.detail()));
    } else if (outcome instanceof Outcome.Unknown u) {
      b.setUnknown(
          UnknownMessage.newBuilder()
              .setRetryAfterMillis(u.retryAfter().toMillis())
              .setDetail(u.detail()));
    }
    return b.build();
  }

  /**
   * Returns the outcome in {@code message}.
   *
   * @throws IllegalArgumentException if the message holds no outcome or an unknown reason
   */
  public static Outcome toOutcome(OutcomeMessage message) {
    return switch (message.getKindCase()) {
      case COMPLETED -> completed(message.getCompleted());
      case REJECTED -> rejected(message.getRejected());
      case NOT_RUN -> notRun(message.getNotRun());
      case UNKNOWN ->
          new Outcome.Unknown(
              Duration.ofMillis(message.getUnknown().getRetryAfterMillis()),
              message.getUnknown().getDetail());
      default -> throw new IllegalArgumentException("outcome message has no outcome");
    };
  }

  private static Outcome rejected(RejectedMessage m) {
    return new Outcome.Rejected(m.getSqlState(), m.getMessage(), m.getStatementIndex());
  }

  private static Outcome notRun(NotRunMessage m) {
    return new Outcome.NotRun(
        NotRunReason.valueOf(m.getReason()),
        Duration.ofMillis(m.getRetryAfterMillis()),
        m.getDetail());
  }

  /** Returns the messages for {@code results}; the request ledger stores them in this form too. */
  public static List<ResultMessage> resultMessages(List<StatementResult> results) {
    List<ResultMessage> messages = new ArrayList<>(results.size());
    for (StatementResult r : results) {
      ResultMessage.Builder b =
          ResultMessage.newBuilder().addAllColumns(r.columns()).setAffectedRows(r.affectedRows());
      for (List<SqlValue> row : r.rows()) {
        RowMessage.Builder rb = RowMessage.newBuilder();
        row.forEach(v -> rb.addValues(valueMessage(v)));
        b.addRows(rb);
      }
      messages.add(b.build());
    }
    return messages;
  }

  /** Returns the results in {@code messages}. */
  public static List<StatementResult> toResults(List<ResultMessage> messages) {
    List<StatementResult> results = new ArrayList<>(messages.size());
    for (ResultMessage m : messages) {
      List<List<SqlValue>> rows = new ArrayList<>(m.getRowsCount());
      for (RowMessage row : m.getRowsList()) {
        List<SqlValue> values = new ArrayList<>(row.getValuesCount());
        row.getValuesList().forEach(v -> values.add(toValue(v)));
        rows.add(values);
      }
      results.add(new StatementResult(m.getColumnsList(), rows, m.getAffectedRows()));
    }
    return results;
  }

  private static CompletedMessage completedMessage(Outcome.Completed c) {
    CompletedMessage.Builder b =
        CompletedMessage.newBuilder()
            .addAllResults(resultMessages(c.results()))
            .setReplayed(c.replayed())
            .setServedBy(c.servedBy())
            .setFromReplica(c.fromReplica());
    if (c.position() != null) {
      b.setPosition(positionMessage(c.position()));
    }
    if (c.transaction() != null) {
      b.setTransaction(c.transaction());
    }
    return b.build();
  }

  private static Outcome completed(CompletedMessage m) {
    return new Outcome.Completed(
        toResults(m.getResultsList()),
        m.hasPosition() ? toPosition(m.getPosition()) : null,
        m.getReplayed(),
        m.getServedBy(),
        m.getFromReplica(),
        m.hasTransaction() ? m.getTransaction() : null);
  }

  private static long millisLeft(Instant deadline, Instant now) {
    return Math.max(0, Duration.between(now, deadline).toMillis());
  }

  private static PositionMessage positionMessage(LogPosition p) {
    return PositionMessage.newBuilder().setTerm(p.term()).setOffset(p.offset()).build();
  }

  private static LogPosition toPosition(PositionMessage m) {
    return new LogPosition(m.getTerm(), m.getOffset());
  }

  private static ValueMessage valueMessage(SqlValue value) {
    ValueMessage.Builder b = ValueMessage.newBuilder();
    if (value instanceof SqlValue.Bool v) {
      b.setBoolValue(v.value());
    } else if (value instanceof SqlValue.Int v) {
      b.setIntValue(v.value());
    } else if (value instanceof SqlValue.Real v) {
      b.setRealValue(v.value());
    } else if (value instanceof SqlValue.Decimal v) {
      b.setDecimalValue(v.value().toString());
    } else if (value instanceof SqlValue.Text v) {
      b.setTextValue(v.value());
    } else {
      b.setNullValue(true);
    }
    return b.build();
  }

  private static SqlValue toValue(ValueMessage m) {
    return switch (m.getKindCase()) {
      case BOOL_VALUE -> new SqlValue.Bool(m.getBoolValue());
      case INT_VALUE -> new SqlValue.Int(m.getIntValue());
      case REAL_VALUE -> new SqlValue.Real(m.getRealValue());
      case DECIMAL_VALUE -> new SqlValue.Decimal(new BigDecimal(m.getDecimalValue()));
      case TEXT_VALUE -> new SqlValue.Text(m.getTextValue());
      default -> SqlValue.NULL;
    };
  }
}
