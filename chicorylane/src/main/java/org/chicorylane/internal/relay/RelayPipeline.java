package org.chicorylane.internal.relay;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.chicorylane.internal.relay.generated.RelayFrame;

/** Adds the codecs that both ends of a relay connection share: length prefix and protobuf. */
final class RelayPipeline {
  /** The largest frame that is accepted, in bytes. */
  static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private static final int LENGTH_BYTES = 4;

  private RelayPipeline() {}

  static void addCodecs(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    pipeline.addLast(new ProtobufDecoder(RelayFrame.getDefaultInstance()));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
    pipeline.addLast(new ProtobufEncoder());
  }
}
