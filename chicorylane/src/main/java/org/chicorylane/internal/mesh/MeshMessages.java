package org.chicorylane.internal.mesh;

import org.chicorylane.internal.mesh.generated.MeshAnswer;
import org.chicorylane.internal.mesh.generated.MeshConfiguration;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshPong;
import org.chicorylane.internal.mesh.generated.MeshPosition;
import org.chicorylane.internal.mesh.generated.MeshWork;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.position.LogPosition;

/** Frames between instances, and what they hold. Stateless. */
public final class MeshMessages {

  private MeshMessages() {}

  /** Returns the work that a message holds. */
  public static Work decodeWork(MeshWork message) {
    return MeshCodec.decodeWork(message);
  }

  /** Returns the answer that a message holds. */
  public static Answer decodeAnswer(MeshAnswer message) {
    return MeshCodec.decodeAnswer(message);
  }

  /** Returns a frame with an answer. */
  public static MeshFrame answerFrame(long call, Answer answer) {
    return MeshFrame.newBuilder().setAnswer(MeshCodec.encodeAnswer(call, answer)).build();
  }

  /** Returns a frame that says that the instance is not the group's home. */
  public static MeshFrame notHomeFrame(long call) {
    return MeshFrame.newBuilder()
        .setAnswer(MeshAnswer.newBuilder().setCall(call).setNotHome(true))
        .build();
  }

  /** Returns the answer to a heartbeat. */
  public static MeshFrame pongFrame(long sequence, long configurationVersion) {
    return MeshFrame.newBuilder()
        .setPong(
            MeshPong.newBuilder()
                .setSequence(sequence)
                .setConfigurationVersion(configurationVersion))
        .build();
  }

  /** Returns a frame with a configuration. */
  public static MeshFrame configurationFrame(String text) {
    return MeshFrame.newBuilder()
        .setConfiguration(MeshConfiguration.newBuilder().setText(text))
        .build();
  }

  /** Returns a position as a message. */
  public static MeshPosition encodePosition(LogPosition position) {
    return MeshCodec.encodePosition(position);
  }
}
