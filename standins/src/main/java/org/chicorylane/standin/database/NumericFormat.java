package org.chicorylane.standin.database;

import io.netty.buffer.ByteBuf;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The binary form of PostgreSQL's numeric: digits in base 10,000 with a weight and a scale. */
final class NumericFormat {

  private static final int DIGITS_PER_GROUP = 4;
  private static final BigInteger BASE = BigInteger.valueOf(10_000);
  private static final int NEGATIVE = 0x4000;

  private NumericFormat() {}

  static void write(BigDecimal value, ByteBuf out) {
    int scale = Math.max(value.scale(), 0);
    int paddedScale = (scale + DIGITS_PER_GROUP - 1) / DIGITS_PER_GROUP * DIGITS_PER_GROUP;
    BigInteger rest = value.abs().setScale(paddedScale).unscaledValue();
    List<Integer> groups = new ArrayList<>();
    while (rest.signum() != 0) {
      BigInteger[] parts = rest.divideAndRemainder(BASE);
      groups.add(0, parts[1].intValue());
      rest = parts[0];
    }
    out.writeShort(groups.size());
    out.writeShort(groups.size() - paddedScale / DIGITS_PER_GROUP - 1);
    out.writeShort(value.signum() < 0 ? NEGATIVE : 0);
    out.writeShort(scale);
    groups.forEach(out::writeShort);
  }

  static BigDecimal read(ByteBuffer in) {
    int count = in.getShort();
    int weight = in.getShort();
    boolean negative = in.getShort() != 0;
    int scale = in.getShort();
    BigInteger digits = BigInteger.ZERO;
    for (int i = 0; i < count; i++) {
      digits = digits.multiply(BASE).add(BigInteger.valueOf(in.getShort()));
    }
    int shift = (weight - count + 1) * DIGITS_PER_GROUP;
    BigDecimal value = new BigDecimal(digits).scaleByPowerOfTen(shift).setScale(scale);
    return negative ? value.negate() : value;
  }
}
