package org.chicorylane.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.declaration.RequestClass;

/**
 * Slots of one backend server: how many each class holds, and the current concurrency limit.
 *
 * <p>Slow start: a server that starts or returns has a limit of one slot, and gets one more after
 * {@link #SUCCESSES_PER_SLOT} successes for each slot of its limit. Not thread-safe.
 */
final class ServerSlots {
  private static final int SUCCESSES_PER_SLOT = 4;

  private final String name;
  private final ConcurrencyPolicy policy;
  private final Map<String, Integer> heldByClass = new HashMap<>();
  private Map<String, Integer> reservedByClass = Map.of();
  private int slots;
  private int limit;
  private int inUse;
  private int successes;

  ServerSlots(String name, ConcurrencyPolicy policy) {
    this.name = name;
    this.policy = policy;
  }

  /** Sets the number of slots; 0 takes the server out of use. */
  void setSlots(int slots) {
    boolean isStarting = this.slots == 0;
    this.slots = slots;
    limit = isStarting ? Math.min(1, slots) : Math.min(limit, slots);
  }

  /** Reserves slots for the classes, highest weight first, and leaves one slot unreserved. */
  void setReserved(List<RequestClass> classes) {
    Map<String, Integer> result = new HashMap<>();
    int remaining = Math.max(0, slots - 1);
    for (RequestClass c :
        classes.stream().sorted(Comparator.comparing(RequestClass::weight).reversed()).toList()) {
      int granted = Math.min(remaining, c.reservedSlots());
      result.put(c.name(), granted);
      remaining -= granted;
    }
    reservedByClass = result;
  }

  /** Returns whether a request of the class may take a slot now. */
  boolean isFreeFor(String requestClass) {
    return inUse < limit && limit - inUse > countUnusedReservations(requestClass);
  }

  /** Takes a slot for a request of the class. */
  void take(String requestClass) {
    AdmissionInvariant.SLOTS_NOT_EXCEEDED.check(inUse < Math.min(limit, slots), this);
    AdmissionInvariant.RESERVED_SLOTS_KEPT.check(isFreeFor(requestClass), this);
    inUse++;
    heldByClass.merge(requestClass, 1, Integer::sum);
  }

  /** Releases a slot of the class and adjusts the limit to the request's outcome. */
  void release(String requestClass, ServiceOutcome outcome) {
    inUse--;
    int remaining = heldByClass.merge(requestClass, -1, Integer::sum);
    AdmissionInvariant.SLOTS_NOT_EXCEEDED.check(inUse >= 0 && remaining >= 0, this);
    int newLimit = policy.limitAfter(limit, outcome);
    if (newLimit < limit) {
      limit = Math.min(newLimit, slots);
      successes = 0;
    } else if (outcome == ServiceOutcome.OK) {
      growAfterSuccess();
    }
  }

  private void growAfterSuccess() {
    successes++;
    if (limit < slots && successes >= SUCCESSES_PER_SLOT * limit) {
      limit++;
      successes = 0;
    }
  }

  /** Returns how many requests of the class can run at the same time. */
  int capacityFor(String requestClass) {
    if (limit == 0) {
      return 0;
    }
    int reservedByOthers = 0;
    for (Map.Entry<String, Integer> e : reservedByClass.entrySet()) {
      reservedByOthers += e.getKey().equals(requestClass) ? 0 : e.getValue();
    }
    return Math.max(1, limit - reservedByOthers);
  }

  private int countUnusedReservations(String requestClass) {
    int unusedReservations = 0;
    for (Map.Entry<String, Integer> e : reservedByClass.entrySet()) {
      if (!e.getKey().equals(requestClass)) {
        unusedReservations += Math.max(0, e.getValue() - heldByClass.getOrDefault(e.getKey(), 0));
      }
    }
    return Math.min(unusedReservations, limit - 1);
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
        + heldByClass
        + ", reserved "
        + reservedByClass;
  }
}
