package org.chicorylane.internal.mesh;

import java.util.EnumMap;
import java.util.Map;

/**
 * Numbers for an enum's constants in messages: their order, which may only be added to at the end.
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

  /** Returns the numbers of a type. */
  public static <E extends Enum<E>> EnumNumbers<E> of(Class<E> type) {
    return new EnumNumbers<>(type);
  }

  /** Returns a constant's number. */
  public int number(E constant) {
    return numbers.getOrDefault(constant, 0);
  }

  /**
   * Returns the constant with a number.
   *
   * @throws IllegalArgumentException if there is none
   */
  public E constant(int number) {
    if (number < 0 || number >= constants.length) {
      throw new IllegalArgumentException("no constant has number " + number);
    }
    return constants[number];
  }
}
