package org.chicorylane.internal.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.chicorylane.internal.declaration.RequestClass;

/**
 * Waiting tickets of one request class, in order of arrival, and the class's start tag in the fair
 * queueing schedule. Not thread-safe.
 */
final class ClassQueue {
  private static final double SERVICE_TIME_WEIGHT = 0.05;
  private static final Duration RECENT_READ_PERIOD = Duration.ofMinutes(1);

  private final Map<String, Ticket> primaryTickets = new LinkedHashMap<>();
  private final Map<String, Ticket> anyServerTickets = new LinkedHashMap<>();
  private RequestClass requestClass;
  private double serviceSeconds;
  private double startTag;
  private Instant nextRetry = Instant.MIN;
  private Instant recentReadsUntil = Instant.MIN;

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
    return primaryTickets.size() + anyServerTickets.size();
  }

  /** Returns the waiting tickets that need the primary, or those that do not; oldest first. */
  Collection<Ticket> tickets(boolean needsPrimary) {
    return (needsPrimary ? primaryTickets : anyServerTickets).values();
  }

  /** Adds a ticket. A class that was idle gets no credit for its idle time. */
  void add(Ticket ticket, double virtualTime) {
    if (size() == 0) {
      startTag = Math.max(startTag, virtualTime);
    }
    Map<String, Ticket> tickets = ticket.needsPrimary() ? primaryTickets : anyServerTickets;
    Ticket earlier = tickets.put(ticket.id(), ticket);
    AdmissionInvariant.ONE_ENDING_PER_TICKET.check(earlier == null, ticket);
  }

  /** Records that the class has requests that replicas may run. */
  void onRead(Instant now) {
    recentReadsUntil = now.plus(RECENT_READ_PERIOD);
  }

  /** Returns whether the class had reads recently, so that replicas may have to run more soon. */
  boolean hasRecentReads(Instant now) {
    return now.isBefore(recentReadsUntil);
  }

  /** Removes the ticket and returns whether it was waiting. */
  boolean remove(Ticket ticket) {
    return (ticket.needsPrimary() ? primaryTickets : anyServerTickets).remove(ticket.id()) != null;
  }

  /**
   * Returns the virtual start time of the next request; the class with the lowest is served next.
   */
  double startTag() {
    return startTag;
  }

  /** Advances the start tag by one request. */
  void advanceStartTag() {
    startTag += tagStep();
  }

  /** Returns the amount by which one request advances the start tag. */
  double tagStep() {
    return serviceSeconds / requestClass.weight();
  }

  /** Returns how many of {@code waiting} tickets of this class are scheduled before a tag. */
  double countAhead(int waiting, double tag) {
    if (waiting == 0 || tag <= startTag) {
      return 0;
    }
    return Math.min(waiting, Math.ceil((tag - startTag) / tagStep()));
  }

  void recordServiceTime(Duration serviceTime) {
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
   * Returns the time at which the next refused caller should retry. Successive times are one
   * service time, divided by the capacity, apart.
   *
   * @param earliest when a slot is predicted to be free
   * @param latest the latest time to return
   * @param capacity the number of requests of the class that can run at the same time
   */
  Instant bookRetry(Instant earliest, Instant latest, int capacity) {
    Instant next = nextRetry.isAfter(earliest) ? nextRetry : earliest;
    if (next.isAfter(latest)) {
      return latest;
    }
    nextRetry = next.plus(serviceTime().dividedBy(Math.max(1, capacity)));
    return next;
  }
}
