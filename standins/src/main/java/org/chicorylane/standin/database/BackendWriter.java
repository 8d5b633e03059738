package org.chicorylane.standin.database;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Encodes a server's messages into a buffer that its link sends.
 *
 * <p>Not thread-safe; used by the one thread that runs the session.
 */
final class BackendWriter {

  private static final int FLUSH_BYTES = 64 * 1024;
  private static final int INITIAL_BYTES = 512;

  private final Link link;
  private @Nullable ByteBuf buffer;
  private int lengthIndex;

  BackendWriter(Link link) {
    this.link = link;
  }

  void authenticationOk() {
    begin('R').writeInt(0);
    end();
  }

  void authenticationCleartextPassword() {
    begin('R').writeInt(3);
    end();
  }

  void parameterStatus(String name, String value) {
    ByteBuf out = begin('S');
    writeText(out, name);
    writeText(out, value);
    end();
  }

  void backendKeyData(int pid, int secret) {
    begin('K').writeInt(pid).writeInt(secret);
    end();
  }

  void readyForQuery(TransactionStatus status) {
    begin('Z').writeByte(status.indicator());
    end();
  }

  void empty(char type) {
    begin(type);
    end();
  }

  void commandComplete(String tag) {
    writeText(begin('C'), tag);
    end();
  }

  void error(String severity, SqlError error) {
    ByteBuf out = begin('E');
    writeField(out, 'S', severity);
    writeField(out, 'V', severity);
    writeField(out, 'C', error.state());
    writeField(out, 'M', String.valueOf(error.getMessage()));
    out.writeByte(0);
    end();
  }

  void parameterDescription(List<PgType> types) {
    ByteBuf out = begin('t');
    out.writeShort(types.size());
    for (PgType t : types) {
      out.writeInt(t.oid());
    }
    end();
  }

  void rowDescription(List<Column> columns, ResultFormats formats) {
    ByteBuf out = begin('T');
    out.writeShort(columns.size());
    for (int i = 0; i < columns.size(); i++) {
      Column c = columns.get(i);
      writeText(out, c.name());
      out.writeInt(0).writeShort(0).writeInt(c.type().oid());
      out.writeShort(c.type().size()).writeInt(-1);
      out.writeShort(formats.binary(i) ? 1 : 0);
    }
    end();
  }

  void dataRow(List<Column> columns, ResultFormats formats, @Nullable Object[] row) {
    ByteBuf out = begin('D');
    out.writeShort(row.length);
    for (int i = 0; i < row.length; i++) {
      Object value = row[i];
      if (value == null) {
        out.writeInt(-1);
        continue;
      }
      int start = out.writerIndex();
      out.writeInt(0);
      PgType type = columns.get(i).type();
      if (formats.binary(i)) {
        type.writeBinary(value, out);
      } else {
        out.writeCharSequence(type.text(value), StandardCharsets.UTF_8);
      }
      out.setInt(start, out.writerIndex() - start - Integer.BYTES);
    }
    end();
    if (out.readableBytes() > FLUSH_BYTES) {
      flush();
    }
  }

  void flush() {
    ByteBuf out = buffer;
    buffer = null;
    if (out != null) {
      link.send(out);
    }
  }

  private ByteBuf begin(char type) {
    ByteBuf out = buffer;
    if (out == null) {
      out = ByteBufAllocator.DEFAULT.buffer(INITIAL_BYTES);
      buffer = out;
    }
    out.writeByte(type);
    lengthIndex = out.writerIndex();
    return out.writeInt(0);
  }

  private void end() {
    ByteBuf out = buffer;
    if (out != null) {
      out.setInt(lengthIndex, out.writerIndex() - lengthIndex);
    }
  }

  private static void writeField(ByteBuf out, char code, String value) {
    out.writeByte(code);
    writeText(out, value);
  }

  private static void writeText(ByteBuf out, String text) {
    out.writeCharSequence(text, StandardCharsets.UTF_8);
    out.writeByte(0);
  }
}
