package org.chicorylane.standin.database;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Decodes what a client sends; answers an encryption request with a refusal by itself. */
final class FrontendDecoder extends ByteToMessageDecoder {

  private static final int PROTOCOL_3 = 196608;
  private static final int CANCEL_REQUEST = 80877102;
  private static final int SSL_REQUEST = 80877103;
  private static final int GSS_REQUEST = 80877104;
  private static final int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
  private static final int LENGTH_BYTES = 4;

  private boolean started;

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    int headerBytes = started ? 1 + LENGTH_BYTES : LENGTH_BYTES;
    if (in.readableBytes() < headerBytes) {
      return;
    }
    int lengthIndex = in.readerIndex() + headerBytes - LENGTH_BYTES;
    int length = in.getInt(lengthIndex);
    if (length < LENGTH_BYTES || length > MAX_MESSAGE_BYTES) {
      throw new CorruptedFrameException("message length " + length + " is out of range");
    }
    if (in.readableBytes() < headerBytes - LENGTH_BYTES + length) {
      return;
    }
    char type = started ? (char) in.readByte() : '\0';
    in.skipBytes(LENGTH_BYTES);
    ByteBuf body = in.readSlice(length - LENGTH_BYTES);
    FrontendMessage message = started ? decodeMessage(type, body) : decodeStartup(ctx, body);
    if (message != null) {
      out.add(message);
    }
  }

  private @Nullable FrontendMessage decodeStartup(ChannelHandlerContext ctx, ByteBuf body) {
    int code = body.readInt();
    return switch (code) {
      case SSL_REQUEST, GSS_REQUEST -> {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {'N'}));
        yield null;
      }
      case CANCEL_REQUEST -> new FrontendMessage.CancelRequest(body.readInt(), body.readInt());
      case PROTOCOL_3 -> {
        started = true;
        yield new FrontendMessage.Startup(readParameters(body));
      }
      default ->
          throw new CorruptedFrameException("protocol version " + code + " is not supported");
    };
  }

  private static Map<String, String> readParameters(ByteBuf body) {
    Map<String, String> parameters = new HashMap<>();
    while (body.isReadable()) {
      String name = readText(body);
      if (name.isEmpty()) {
        break;
      }
      parameters.put(name, readText(body));
    }
    return parameters;
  }

  private static FrontendMessage decodeMessage(char type, ByteBuf body) {
    return switch (type) {
      case 'Q' -> new FrontendMessage.Query(readText(body));
      case 'P' -> decodeParse(body);
      case 'B' -> decodeBind(body);
      case 'D' -> new FrontendMessage.Describe(body.readByte() == 'P', readText(body));
      case 'E' -> new FrontendMessage.Execute(readText(body), body.readInt());
      case 'C' -> new FrontendMessage.Close(body.readByte() == 'P', readText(body));
      case 'S' -> new FrontendMessage.Sync();
      case 'H' -> new FrontendMessage.Flush();
      case 'X' -> new FrontendMessage.Terminate();
      case 'p' -> new FrontendMessage.Password(readText(body));
      default -> new FrontendMessage.Unsupported(type);
    };
  }

  private static FrontendMessage decodeParse(ByteBuf body) {
    String name = readText(body);
    String sql = readText(body);
    int count = body.readShort();
    List<Integer> types = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      types.add(body.readInt());
    }
    return new FrontendMessage.Parse(name, sql, types);
  }

  private static FrontendMessage decodeBind(ByteBuf body) {
    String portal = readText(body);
    String statement = readText(body);
    List<Integer> parameterFormats = readFormats(body);
    int count = body.readShort();
    List<byte @Nullable []> parameters = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int length = body.readInt();
      byte[] value = length < 0 ? null : new byte[length];
      if (value != null) {
        body.readBytes(value);
      }
      parameters.add(value);
    }
    return new FrontendMessage.Bind(
        portal, statement, parameterFormats, parameters, readFormats(body));
  }

  private static List<Integer> readFormats(ByteBuf body) {
    int count = body.readShort();
    List<Integer> formats = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      formats.add((int) body.readShort());
    }
    return formats;
  }

  private static String readText(ByteBuf body) {
    int length = body.bytesBefore((byte) 0);
    if (length < 0) {
      throw new CorruptedFrameException("text without its terminating zero");
    }
    String text = body.readString(length, StandardCharsets.UTF_8);
    body.skipBytes(1);
    return text;
  }
}
