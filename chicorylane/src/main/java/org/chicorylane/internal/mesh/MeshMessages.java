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

/** Builds the frames that instances exchange and decodes their contents. Stateless. */
public final class MeshMessages {

  private MeshMessages() {}

  /** Returns the work in {@code message}. */
  public static Work decodeWork(MeshWork message) {
    return MeshCodec.decodeWork(message);
  }

  /** Returns the answer in {@code message}. */
  public static Answer decodeAnswer(MeshAnswer message) {
    return MeshCodec.decodeAnswer(message);
  }

  /** Returns the frame that answers the work with number {@code call}. */
  public static MeshFrame answerFrame(long call, Answer answer) {
    return MeshFrame.newBuilder().setAnswer(MeshCodec.encodeAnswer(call, answer)).build();
  }

  /**
   * Returns the frame that rejects the work with number {@code call} because this instance is not
   * the group's home; nothing ran.
   */
  public static MeshFrame notHomeFrame(long call) {
    return MeshFrame.newBuilder()
        .setAnswer(MeshAnswer.newBuilder().setCall(call).setNotHome(true))
        .build();
  }

  /**
   * Returns the frame that answers a heartbeat.
   *
   * @param sequence the heartbeat's sequence number
   * @param configurationVersion the version of this instance's configuration
   */
  public static MeshFrame pongFrame(long sequence, long configurationVersion) {
    return MeshFrame.newBuilder()
        .setPong(
            MeshPong.newBuilder()
                .setSequence(sequence)
                .setConfigurationVersion(configurationVersion))
        .build();
  }

  /** Returns the frame that carries a configuration as the store holds it. */
  public static MeshFrame configurationFrame(String text) {
    return MeshFrame.newBuilder()
        .setConfiguration(MeshConfiguration.newBuilder().setText(text))
        .build();
  }

  /** Returns the message for {@code position}. */
  public static MeshPosition encodePosition(LogPosition position) {
    return MeshCodec.encodePosition(position);
  }
}
