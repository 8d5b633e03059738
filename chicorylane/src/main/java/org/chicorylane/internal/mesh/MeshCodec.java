package org.chicorylane.internal.mesh;

import java.util.LinkedHashMap;
import java.util.Map;
import org.chicorylane.internal.mesh.generated.MeshAnswer;
import org.chicorylane.internal.mesh.generated.MeshPosition;
import org.chicorylane.internal.mesh.generated.MeshWork;
import org.chicorylane.internal.passthrough.AccessMode;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;

/** Turns work and answers into messages and back. */
final class MeshCodec {

  private static final EnumNumbers<FailureCode> FAILURES = EnumNumbers.of(FailureCode.class);
  private static final EnumNumbers<TransactionState> STATES =
      EnumNumbers.of(TransactionState.class);
  private static final EnumNumbers<Freshness> FRESHNESS = EnumNumbers.of(Freshness.class);
  private static final EnumNumbers<WorkKind> KINDS = EnumNumbers.of(WorkKind.class);
  private static final EnumNumbers<AccessMode> MODES = EnumNumbers.of(AccessMode.class);

  private MeshCodec() {}

  static MeshWork encodeWork(long call, String group, Work work) {
    MeshWork.Builder b =
        MeshWork.newBuilder()
            .setCall(call)
            .setGroup(group)
            .setKind(KINDS.number(work.kind()))
            .setRequestId(work.requestId())
            .setText(work.text())
            .setFreshness(FRESHNESS.number(work.freshness()))
            .setMaximumAgeMillis(work.maximumAgeMillis())
            .setBudgetMillis(work.budgetMillis())
            .setTargetMillis(work.targetMillis())
            .setPriority(work.priority())
            .setTransaction(work.transaction())
            .setBegins(work.begins())
            .setReadOnly(work.readOnly());
    if (work.template() != null) {
      b.setShapeMode(1 + MODES.number(work.template().mode())).setShape(work.template().text());
    }
    if (work.sessionFloor() != null) {
      b.setSessionFloor(encodePosition(work.sessionFloor()));
    }
    work.values()
        .forEach(
            (name, value) -> {
              b.addValueNames(name);
              b.addValues(value);
            });
    return b.build();
  }

  static Work decodeWork(MeshWork m) {
    Map<String, String> values = new LinkedHashMap<>();
    for (int i = 0; i < Math.min(m.getValueNamesCount(), m.getValuesCount()); i++) {
      values.put(m.getValueNames(i), m.getValues(i));
    }
    StatementTemplate template =
        m.getShapeMode() == 0
            ? null
            : new StatementTemplate(MODES.constant(m.getShapeMode() - 1), m.getShape());
    return new Work(
        KINDS.constant(m.getKind()),
        m.getRequestId(),
        m.getText(),
        template,
        FRESHNESS.constant(m.getFreshness()),
        m.getMaximumAgeMillis(),
        m.hasSessionFloor() ? decodePosition(m.getSessionFloor()) : null,
        values,
        m.getTransaction(),
        m.getBegins(),
        m.getReadOnly(),
        m.getPriority(),
        m.getTargetMillis(),
        m.getBudgetMillis());
  }

  static MeshAnswer encodeAnswer(long call, Answer answer) {
    MeshAnswer.Builder b =
        MeshAnswer.newBuilder()
            .setCall(call)
            .addAllRows(answer.rows())
            .setText(answer.text())
            .setState(STATES.number(answer.state()));
    if (answer.signature() != null) {
      b.setSignature(answer.signature());
    }
    FailureCode failure = answer.failure();
    if (failure != null) {
      b.setFailure(1 + FAILURES.number(failure));
    }
    if (answer.position() != null) {
      b.setPosition(encodePosition(answer.position()));
    }
    return b.build();
  }

  static Answer decodeAnswer(MeshAnswer m) {
    FailureCode failure = m.getFailure() == 0 ? null : FAILURES.constant(m.getFailure() - 1);
    return new Answer(
        m.getRowsList(),
        failure == null ? m.getSignature() : null,
        failure,
        m.getText(),
        STATES.constant(m.getState()),
        m.hasPosition() ? decodePosition(m.getPosition()) : null,
        null);
  }

  static MeshPosition encodePosition(LogPosition position) {
    return MeshPosition.newBuilder().setTerm(position.term()).setNumber(position.offset()).build();
  }

  static @Nullable LogPosition decodePosition(MeshPosition position) {
    return new LogPosition(position.getTerm(), position.getNumber());
  }
}
