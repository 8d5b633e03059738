package org.chicorylane.internal.mesh;

import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.mesh.generated.MeshAnswer;
import org.chicorylane.internal.mesh.generated.MeshPosition;
import org.chicorylane.internal.mesh.generated.MeshWork;
import org.chicorylane.internal.passthrough.AccessMode;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.SessionValues;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;

/** Converts work and answers to the messages that carry them and back. Stateless. */
final class MeshCodec {

  private static final EnumNumbers<FailureCode> FAILURE_NUMBERS = EnumNumbers.of(FailureCode.class);
  private static final EnumNumbers<TransactionState> STATE_NUMBERS =
      EnumNumbers.of(TransactionState.class);
  private static final EnumNumbers<Freshness> FRESHNESS_NUMBERS = EnumNumbers.of(Freshness.class);
  private static final EnumNumbers<WorkKind> KIND_NUMBERS = EnumNumbers.of(WorkKind.class);
  private static final EnumNumbers<AccessMode> MODE_NUMBERS = EnumNumbers.of(AccessMode.class);

  private MeshCodec() {}

  static MeshWork encodeWork(long call, String group, Work work, long sentMillis) {
    MeshWork.Builder builder =
        MeshWork.newBuilder()
            .setCall(call)
            .setSentMillis(sentMillis)
            .setGroup(group)
            .setKind(KIND_NUMBERS.number(work.kind()))
            .setRequestId(work.requestId())
            .setText(work.text())
            .setFreshness(FRESHNESS_NUMBERS.number(work.freshness()))
            .setMaximumAgeMillis(work.maximumAgeMillis())
            .setBudgetMillis(work.budgetMillis())
            .setTargetMillis(work.targetMillis())
            .setPriority(work.priority())
            .setTransaction(work.transaction())
            .setBegins(work.begins())
            .setReadOnly(work.readOnly());
    if (work.template() != null) {
      builder
          .setShapeMode(1 + MODE_NUMBERS.number(work.template().mode()))
          .setShape(work.template().text());
    }
    if (work.sessionFloor() != null) {
      builder.setSessionFloor(encodePosition(work.sessionFloor()));
    }
    if (work.access() != null) {
      builder.setAccount(work.access().account()).setAccountKey(work.access().key().hex());
    }
    work.values()
        .asMap()
        .forEach(
            (name, value) -> {
              builder.addValueNames(name);
              builder.addValues(value);
            });
    return builder.build();
  }

  /** Returns the work with its target and budget reduced by a time that it waited to be sent. */
  static MeshWork afterWaiting(MeshWork work, int millis, long sentMillis) {
    return work.toBuilder()
        .setSentMillis(sentMillis)
        .setTargetMillis(Math.max(0, work.getTargetMillis() - millis))
        .setBudgetMillis(Math.max(0, work.getBudgetMillis() - millis))
        .build();
  }

  static Work decodeWork(MeshWork message) {
    StatementTemplate template =
        message.getShapeMode() == 0
            ? null
            : new StatementTemplate(
                MODE_NUMBERS.constant(message.getShapeMode() - 1), message.getShape());
    return new Work(
        KIND_NUMBERS.constant(message.getKind()),
        message.getRequestId(),
        message.getText(),
        template,
        FRESHNESS_NUMBERS.constant(message.getFreshness()),
        message.getMaximumAgeMillis(),
        message.hasSessionFloor() ? decodePosition(message.getSessionFloor()) : null,
        SessionValues.ofPairs(message.getValueNamesList(), message.getValuesList()),
        message.getTransaction(),
        message.getBegins(),
        message.getReadOnly(),
        message.getPriority(),
        message.getTargetMillis(),
        message.getBudgetMillis(),
        message.getAccount().isEmpty()
            ? null
            : new AccountAccess(message.getAccount(), new KeyFingerprint(message.getAccountKey())));
  }

  static MeshAnswer encodeAnswer(long call, Answer answer) {
    MeshAnswer.Builder builder =
        MeshAnswer.newBuilder()
            .setCall(call)
            .addAllRows(answer.rows())
            .setText(answer.text())
            .setState(STATE_NUMBERS.number(answer.state()));
    if (answer.signature() != null) {
      builder.setSignature(answer.signature());
    }
    FailureCode failure = answer.failure();
    if (failure != null) {
      builder.setFailure(1 + FAILURE_NUMBERS.number(failure));
    }
    if (answer.position() != null) {
      builder.setPosition(encodePosition(answer.position()));
    }
    return builder.build();
  }

  static Answer decodeAnswer(MeshAnswer message) {
    FailureCode failure =
        message.getFailure() == 0 ? null : FAILURE_NUMBERS.constant(message.getFailure() - 1);
    return new Answer(
        message.getRowsList(),
        failure == null ? message.getSignature() : null,
        failure,
        message.getText(),
        STATE_NUMBERS.constant(message.getState()),
        message.hasPosition() ? decodePosition(message.getPosition()) : null,
        null);
  }

  static MeshPosition encodePosition(LogPosition position) {
    return MeshPosition.newBuilder().setTerm(position.term()).setNumber(position.offset()).build();
  }

  static @Nullable LogPosition decodePosition(MeshPosition position) {
    return new LogPosition(position.getTerm(), position.getNumber());
  }
}
