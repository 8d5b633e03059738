package org.chicorylane.internal.mesh;

import java.util.EnumMap;
import java.util.Map;

/**
 * Maps the constants of an enum to their numbers in messages and back. The numbers are the
 * ordinals, so new constants may only be added at the end.
 *
 * <p>Immutable.
 */
public final class EnumNumbers<E extends Enum<E>> {

  private final E[] constants;
  private final Map<E, Integer> numbers;

  private EnumNumbers(Class<E> type) {
    constants = type.getEnumConstants();
    numbers = new EnumMap<>(type);
    for (int i = 0; i < constants.length; i++) {
      numbers.put(constants[i], i);
    }
  }

  /** Returns the mapping for {@code type}. */
  public static <E extends Enum<E>> EnumNumbers<E> of(Class<E> type) {
    return new EnumNumbers<>(type);
  }

  /** Returns the number of {@code constant}. */
  public int number(E constant) {
    return numbers.getOrDefault(constant, 0);
  }

  /** Returns whether a constant has {@code number}. */
  public boolean contains(int number) {
    return number >= 0 && number < constants.length;
  }

  /**
   * Returns the constant that has {@code number}.
   *
   * @throws IllegalArgumentException if there is none
   */
  public E constant(int number) {
    if (!contains(number)) {
      throw new IllegalArgumentException("no constant has number " + number);
    }
    return constants[number];
  }
}
