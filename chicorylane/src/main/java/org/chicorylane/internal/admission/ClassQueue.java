package org.chicorylane.internal.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chicorylane.internal.declaration.RequestClass;

/**
 * The tickets of one request class that wait, in order of arrival, with the class's place in the
 * fair schedule. Not thread-safe.
 */
final class ClassQueue {
  private static final double SERVICE_TIME_WEIGHT = 0.05;
  private static final Duration READ_MEMORY = Duration.ofMinutes(1);

  private final Map<String, Ticket> primaryLane = new LinkedHashMap<>();
  private final Map<String, Ticket> anyLane = new LinkedHashMap<>();
  private RequestClass requestClass;
  private double serviceSeconds;
  private double startTag;
  private Instant nextReturn = Instant.MIN;
  private Instant readsUntil = Instant.MIN;

  ClassQueue(RequestClass requestClass, Duration initialServiceTime) {
    this.requestClass = requestClass;
    this.serviceSeconds = initialServiceTime.toNanos() / 1e9;
  }

  void setRequestClass(RequestClass requestClass) {
    this.requestClass = requestClass;
  }

  String name() {
    return requestClass.name();
  }

  RequestClass requestClass() {
    return requestClass;
  }

  int size() {
    return primaryLane.size() + anyLane.size();
  }

  /** Returns the waiting tickets that do, or do not, need the primary; oldest first. */
  Collection<Ticket> lane(boolean needsPrimary) {
    return (needsPrimary ? primaryLane : anyLane).values();
  }

  /** Adds a ticket; a class that was idle gets no credit for its idle time. */
  void add(Ticket ticket, double virtualTime) {
    if (size() == 0) {
      startTag = Math.max(startTag, virtualTime);
    }
    Map<String, Ticket> lane = ticket.needsPrimary() ? primaryLane : anyLane;
    Ticket earlier = lane.put(ticket.id(), ticket);
    AdmissionInvariant.ONE_ENDING_PER_TICKET.check(earlier == null, ticket);
  }

  /** Notes that the class has requests which replicas may run. */
  void onRead(Instant now) {
    readsUntil = now.plus(READ_MEMORY);
  }

  /** Returns whether a replica may have to run requests of the class soon. */
  boolean readsLately(Instant now) {
    return now.isBefore(readsUntil);
  }

  /** Removes the ticket and returns whether it was waiting. */
  boolean remove(Ticket ticket) {
    return (ticket.needsPrimary() ? primaryLane : anyLane).remove(ticket.id()) != null;
  }

  /** Returns the tag by which classes take turns: the lowest is next. */
  double startTag() {
    return startTag;
  }

  /** Moves the class behind in the schedule by one request. */
  void advance() {
    startTag += tagStep();
  }

  /** Returns how far one request moves the class in the schedule. */
  double tagStep() {
    return serviceSeconds / requestClass.weight();
  }

  /** Returns how many of {@code waiting} tickets of this class come before a tag. */
  double ahead(int waiting, double tag) {
    if (waiting == 0 || tag <= startTag) {
      return 0;
    }
    return Math.min(waiting, Math.ceil((tag - startTag) / tagStep()));
  }

  void observe(Duration serviceTime) {
    serviceSeconds += SERVICE_TIME_WEIGHT * (serviceTime.toNanos() / 1e9 - serviceSeconds);
    serviceSeconds = Math.max(serviceSeconds, 1e-6);
  }

  /** Returns the mean service time in seconds. */
  double serviceSeconds() {
    return serviceSeconds;
  }

  /** Returns the mean service time. */
  Duration serviceTime() {
    return Duration.ofNanos(Math.round(serviceSeconds * 1e9));
  }

  /**
   * Books the next time at which a refused caller should come back, one service apart.
   *
   * @param earliest when a slot is predicted
   * @param latest the latest time to give out
   * @param capacity how many requests of the class run at the same time
   */
  Instant bookReturn(Instant earliest, Instant latest, int capacity) {
    Instant next = nextReturn.isAfter(earliest) ? nextReturn : earliest;
    if (next.isAfter(latest)) {
      return latest;
    }
    nextReturn = next.plus(serviceTime().dividedBy(Math.max(1, capacity)));
    return next;
  }
}
