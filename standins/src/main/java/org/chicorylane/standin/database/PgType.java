package org.chicorylane.standin.database;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.temporal.ChronoField;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/** The types of PostgreSQL that a stand-in server sends and takes, with both of their formats. */
enum PgType {
  BOOL(16, 1, Boolean.class) {
    @Override
    String text(Object value) {
      return (Boolean) value ? "t" : "f";
    }

    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeBoolean((Boolean) value);
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return in.get() != 0;
    }
  },
  BYTEA(17, -1, byte[].class) {
    @Override
    String text(Object value) {
      return "\\x" + ByteBufUtil.hexDump((byte[]) value);
    }

    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeBytes((byte[]) value);
    }

    @Override
    Object readBinary(ByteBuffer in) {
      byte[] bytes = new byte[in.remaining()];
      in.get(bytes);
      return bytes;
    }

    @Override
    Object readText(String text) {
      return text.startsWith("\\x")
          ? ByteBufUtil.decodeHexDump(text, 2, text.length() - 2)
          : text.getBytes(StandardCharsets.UTF_8);
    }
  },
  INT2(21, 2, Short.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeShort(((Number) value).intValue());
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return in.getShort();
    }

    @Override
    Object readText(String text) {
      return Short.valueOf(text.strip());
    }
  },
  INT4(23, 4, Integer.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeInt(((Number) value).intValue());
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return in.getInt();
    }

    @Override
    Object readText(String text) {
      return Integer.valueOf(text.strip());
    }
  },
  INT8(20, 8, Long.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeLong(((Number) value).longValue());
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return in.getLong();
    }

    @Override
    Object readText(String text) {
      return Long.valueOf(text.strip());
    }
  },
  FLOAT4(700, 4, Float.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeFloat(((Number) value).floatValue());
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return in.getFloat();
    }

    @Override
    Object readText(String text) {
      return Float.valueOf(text.strip());
    }
  },
  FLOAT8(701, 8, Double.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeDouble(((Number) value).doubleValue());
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return in.getDouble();
    }

    @Override
    Object readText(String text) {
      return Double.valueOf(text.strip());
    }
  },
  NUMERIC(1700, -1, BigDecimal.class) {
    @Override
    String text(Object value) {
      return ((BigDecimal) value).toPlainString();
    }

    @Override
    void writeBinary(Object value, ByteBuf out) {
      NumericFormat.write((BigDecimal) value, out);
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return NumericFormat.read(in);
    }

    @Override
    Object readText(String text) {
      return new BigDecimal(text.strip());
    }
  },
  TEXT(25, -1, String.class),
  VARCHAR(1043, -1, String.class),
  BPCHAR(1042, -1, String.class),
  JSON(114, -1, String.class),
  DATE(1082, 4, LocalDate.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeInt((int) (((LocalDate) value).toEpochDay() - EPOCH.toLocalDate().toEpochDay()));
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return EPOCH.toLocalDate().plusDays(in.getInt());
    }
  },
  TIME(1083, 8, LocalTime.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeLong(((LocalTime) value).toNanoOfDay() / NANOS_PER_MICRO);
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return LocalTime.ofNanoOfDay(in.getLong() * NANOS_PER_MICRO);
    }
  },
  TIMESTAMP(1114, 8, LocalDateTime.class) {
    @Override
    String text(Object value) {
      return TIMESTAMP_TEXT.format((LocalDateTime) value);
    }

    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeLong(EPOCH.until((LocalDateTime) value, ChronoUnit.MICROS));
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return EPOCH.plus(in.getLong(), ChronoUnit.MICROS);
    }
  },
  TIMESTAMPTZ(1184, 8, OffsetDateTime.class) {
    @Override
    String text(Object value) {
      return TIMESTAMP_TEXT.format(utc(value)) + "+00";
    }

    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeLong(EPOCH.until(utc(value), ChronoUnit.MICROS));
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return EPOCH.plus(in.getLong(), ChronoUnit.MICROS).atOffset(ZoneOffset.UTC);
    }
  },
  UUID(2950, 16, UUID.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      UUID uuid = (UUID) value;
      out.writeLong(uuid.getMostSignificantBits()).writeLong(uuid.getLeastSignificantBits());
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return new UUID(in.getLong(), in.getLong());
    }

    @Override
    Object readText(String text) {
      return java.util.UUID.fromString(text);
    }
  },
  PG_LSN(3220, 8, String.class) {
    @Override
    void writeBinary(Object value, ByteBuf out) {
      out.writeLong(Lsn.parse((String) value));
    }

    @Override
    Object readBinary(ByteBuffer in) {
      return Lsn.format(in.getLong());
    }
  },
  VOID(2278, 4, String.class);

  private static final LocalDateTime EPOCH = LocalDateTime.of(2000, 1, 1, 0, 0);
  private static final long NANOS_PER_MICRO = 1_000;
  private static final DateTimeFormatter TIMESTAMP_TEXT =
      new DateTimeFormatterBuilder()
          .appendPattern("yyyy-MM-dd HH:mm:ss")
          .appendFraction(ChronoField.MICRO_OF_SECOND, 0, 6, true)
          .toFormatter();

  private final int oid;
  private final int size;
  private final Class<?> javaType;

  PgType(int oid, int size, Class<?> javaType) {
    this.oid = oid;
    this.size = size;
    this.javaType = javaType;
  }

  /** Returns the type with the given number, {@code TEXT} for one not known here. */
  static PgType ofOid(int oid) {
    for (PgType t : values()) {
      if (t.oid == oid) {
        return t;
      }
    }
    return TEXT;
  }

  int oid() {
    return oid;
  }

  int size() {
    return size;
  }

  /** Returns the column's value in the current row as this type, or null. */
  @Nullable Object read(ResultSet rows, int column) throws SQLException {
    return rows.getObject(column, javaType);
  }

  String text(Object value) {
    return value.toString();
  }

  void writeBinary(Object value, ByteBuf out) {
    out.writeCharSequence(text(value), StandardCharsets.UTF_8);
  }

  Object readBinary(ByteBuffer in) {
    return StandardCharsets.UTF_8.decode(in).toString();
  }

  Object readText(String text) {
    return text;
  }

  /**
   * Returns a parameter's value.
   *
   * @throws SqlError with 22P02 if the bytes are no value of this type
   */
  Object readParameter(byte[] bytes, boolean binary) throws SqlError {
    try {
      return binary
          ? readBinary(ByteBuffer.wrap(bytes))
          : readText(new String(bytes, StandardCharsets.UTF_8));
    } catch (RuntimeException e) {
      throw new SqlError(
          SqlError.INVALID_TEXT_REPRESENTATION,
          "invalid input for type " + name().toLowerCase(Locale.ROOT) + ": " + e);
    }
  }

  private static LocalDateTime utc(Object value) {
    return ((OffsetDateTime) value).withOffsetSameInstant(ZoneOffset.UTC).toLocalDateTime();
  }
}
