package org.chicorylane.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.declaration.RequestClass;

/**
 * The slots of one backend server: who holds them and how many may be held at the moment.
 *
 * <p>A server that starts or returns begins with one slot and gets one more after a few successes
 * for each slot that it has (slow start). Not thread-safe.
 */
final class ServerSlots {
  private static final int SUCCESSES_PER_SLOT = 4;

  private final String name;
  private final ConcurrencyPolicy policy;
  private final Map<String, Integer> held = new HashMap<>();
  private Map<String, Integer> reserved = Map.of();
  private int slots;
  private int limit;
  private int inUse;
  private int successes;

  ServerSlots(String name, ConcurrencyPolicy policy) {
    this.name = name;
    this.policy = policy;
  }

  /** Sets the slots; 0 takes the server out of use. */
  void setSlots(int slots) {
    boolean starts = this.slots == 0;
    this.slots = slots;
    limit = starts ? Math.min(1, slots) : Math.min(limit, slots);
  }

  /** Reserves slots for these classes, by weight, while at least one slot stays with all. */
  void setReserved(List<RequestClass> classes) {
    Map<String, Integer> result = new HashMap<>();
    int left = Math.max(0, slots - 1);
    for (RequestClass c :
        classes.stream().sorted(Comparator.comparing(RequestClass::weight).reversed()).toList()) {
      int granted = Math.min(left, c.reservedSlots());
      result.put(c.name(), granted);
      left -= granted;
    }
    reserved = result;
  }

  /** Returns whether a request of the class may take a slot now. */
  boolean isFreeFor(String requestClass) {
    return inUse < limit && limit - inUse > unmetReservations(requestClass);
  }

  /** Takes a slot. */
  void take(String requestClass) {
    AdmissionInvariant.SLOTS_NOT_EXCEEDED.check(inUse < Math.min(limit, slots), this);
    AdmissionInvariant.RESERVED_SLOTS_KEPT.check(isFreeFor(requestClass), this);
    inUse++;
    held.merge(requestClass, 1, Integer::sum);
  }

  /** Gives a slot back. */
  void free(String requestClass, ServiceOutcome outcome) {
    inUse--;
    int left = held.merge(requestClass, -1, Integer::sum);
    AdmissionInvariant.SLOTS_NOT_EXCEEDED.check(inUse >= 0 && left >= 0, this);
    int lowered = policy.afterService(limit, outcome);
    if (lowered < limit) {
      limit = Math.min(lowered, slots);
      successes = 0;
    } else if (outcome == ServiceOutcome.OK) {
      grow();
    }
  }

  private void grow() {
    successes++;
    if (limit < slots && successes >= SUCCESSES_PER_SLOT * limit) {
      limit++;
      successes = 0;
    }
  }

  /** Returns how many requests of the class could run at the same time. */
  int capacityFor(String requestClass) {
    if (limit == 0) {
      return 0;
    }
    int others = 0;
    for (Map.Entry<String, Integer> e : reserved.entrySet()) {
      others += e.getKey().equals(requestClass) ? 0 : e.getValue();
    }
    return Math.max(1, limit - others);
  }

  private int unmetReservations(String requestClass) {
    int unmet = 0;
    for (Map.Entry<String, Integer> e : reserved.entrySet()) {
      if (!e.getKey().equals(requestClass)) {
        unmet += Math.max(0, e.getValue() - held.getOrDefault(e.getKey(), 0));
      }
    }
    return Math.min(unmet, limit - 1);
  }

  int limit() {
    return limit;
  }

  int inUse() {
    return inUse;
  }

  @Override
  public String toString() {
    return "server \""
        + name
        + "\" with "
        + inUse
        + " in use of "
        + limit
        + " of "
        + slots
        + " slots, held "
        + held
        + ", reserved "
        + reserved;
  }
}
