package org.chicorylane.internal.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import org.chicorylane.internal.declaration.RequestClass;
import org.chicorylane.internal.outcome.NotRunReason;
import org.jspecify.annotations.Nullable;

/**
 * Admission queue of one database group, at the group's home. Decides which request gets the next
 * free slot of a backend server, and immediately refuses requests that could not run in time.
 *
 * <pre>{@code
 * queue.setServerSlots("plans-liben", 3, now);
 * queue.setPrimary("plans-liben", now);
 * for (AdmissionAction action : queue.offer(ticket, now)) {
 *   if (action instanceof AdmissionAction.Dispatch d) {
 *     run(d.ticket(), d.server());
 *   }
 * }
 * perform(queue.releaseSlot(ticket.id(), serviceTime, ServiceOutcome.OK, now));
 * }</pre>
 *
 * <p>Request classes share the slots in proportion to their weights by start-time fair queueing (P.
 * Goyal, H. M. Vin, H. Cheng: Start-time Fair Queueing, SIGCOMM 1996), with the class's mean
 * service time as the length of a request. Within a class, requests are served first come, first
 * served. A class's reserved slots are kept for it on the primary, and on replicas if it has reads.
 *
 * <p>This class does no I/O and uses no threads or clock. Every event method takes the current time
 * and returns the actions to perform. Not thread-safe: use one thread, or a lock, per group. The
 * chooser is called within event methods and must not call back. A caller must perform every
 * returned action: a dispatched ticket holds its slot until {@link #releaseSlot}.
 */
public final class AdmissionQueue {
  /** Maximum number of waiting tickets of a class that are examined for one free slot. */
  private static final int MAX_SCANNED_PER_DISPATCH = 8;

  private record Running(Ticket ticket, String server) {}

  /** The time until which a waiting ticket must start to meet its deadline. */
  private record Expiry(Instant latestStart, Ticket ticket) {}

  private final AdmissionSettings settings;
  private final ConcurrencyPolicy policy;
  private final ServerChooser chooser;
  private final Map<String, ClassQueue> queues = new LinkedHashMap<>();
  private final Map<String, ServerSlots> servers = new LinkedHashMap<>();
  private final Map<String, Running> running = new HashMap<>();
  private final PriorityQueue<Expiry> expiries =
      new PriorityQueue<>(Comparator.comparing(Expiry::latestStart));
  private final RefusalPolicy refusals;
  private List<RequestClass> classes = List.of();
  private List<RequestClass> classesReservedOnReplicas = List.of();
  private @Nullable String primary;
  private double virtualTime;

  /**
   * Creates a queue without servers.
   *
   * @param settings the limits of the queue
   * @param policy how a server's concurrency limit reacts to the outcome of requests
   * @param classes the request classes in force
   * @param chooser selects the servers that may run a ticket
   * @param random the source of jitter
   */
  public AdmissionQueue(
      AdmissionSettings settings,
      ConcurrencyPolicy policy,
      Collection<RequestClass> classes,
      ServerChooser chooser,
      RandomGenerator random) {
    this.settings = settings;
    this.policy = policy;
    this.chooser = chooser;
    this.refusals =
        new RefusalPolicy(settings, new WaitEstimator(queues.values(), servers), random);
    setClasses(classes);
  }

  /** Admits or refuses a request that arrived. */
  public List<AdmissionAction> offer(Ticket ticket, Instant now) {
    List<AdmissionAction> actions = new ArrayList<>();
    AdmissionInvariant.ONE_ENDING_PER_TICKET.check(!running.containsKey(ticket.id()), ticket);
    ClassQueue queue = queues.get(ticket.requestClass());
    if (queue == null || !classes.contains(queue.requestClass())) {
      actions.add(new AdmissionAction.Refuse(ticket, NotRunReason.NOT_ALLOWED, Duration.ZERO));
      return actions;
    }
    if (!ticket.needsPrimary()) {
      queue.onRead(now);
    }
    Optional<NotRunReason> refusal = refusals.checkArrival(queue, ticket, now);
    if (refusal.isPresent()) {
      actions.add(refusals.refuse(queue, ticket, refusal.get(), now));
    } else {
      queue.add(ticket, virtualTime);
      expiries.add(new Expiry(ticket.deadline().minus(queue.serviceTime()), ticket));
    }
    refuseExpiredAndDispatch(actions, now);
    return actions;
  }

  /**
   * Releases the slot of a dispatched request that has ended.
   *
   * @param ticketId the ticket's id
   * @param serviceTime how long the request held the slot
   * @param outcome how the request ended
   * @throws IllegalArgumentException if no such ticket holds a slot
   */
  public List<AdmissionAction> releaseSlot(
      String ticketId, Duration serviceTime, ServiceOutcome outcome, Instant now) {
    Running r = running.remove(ticketId);
    if (r == null) {
      throw new IllegalArgumentException("no ticket \"" + ticketId + "\" holds a slot");
    }
    String requestClass = r.ticket().requestClass();
    slots(r.server()).release(requestClass, outcome);
    if (outcome == ServiceOutcome.OK) {
      queue(requestClass).recordServiceTime(serviceTime);
      refusals.onSuccess();
    }
    List<AdmissionAction> actions = new ArrayList<>();
    refuseExpiredAndDispatch(actions, now);
    return actions;
  }

  /**
   * Sets the number of a server's slots. A server that had none starts with a concurrency limit of
   * one.
   *
   * @param slots the number of slots, 0 if the server takes no new work
   */
  public List<AdmissionAction> setServerSlots(String server, int slots, Instant now) {
    servers.computeIfAbsent(server, s -> new ServerSlots(s, policy)).setSlots(slots);
    return reevaluateWaiting(now);
  }

  /** Sets the primary, to which requests that need it are dispatched from now on. */
  public List<AdmissionAction> setPrimary(String server, Instant now) {
    primary = server;
    refusals.setPrimary(server, null);
    return reevaluateWaiting(now);
  }

  /**
   * Records that there is no primary.
   *
   * @param expected when a primary is expected again; null if unknown, in which case requests that
   *     need the primary are refused
   */
  public List<AdmissionAction> clearPrimary(@Nullable Instant expected, Instant now) {
    primary = null;
    refusals.setPrimary(null, expected);
    return reevaluateWaiting(now);
  }

  /** Replaces the request classes in force; waiting requests of removed classes still run. */
  public List<AdmissionAction> updateClasses(Collection<RequestClass> newClasses, Instant now) {
    setClasses(newClasses);
    return reevaluateWaiting(now);
  }

  /**
   * Refuses expired tickets and dispatches; call as time passes or the chooser's result changes.
   */
  public List<AdmissionAction> tick(Instant now) {
    List<AdmissionAction> actions = new ArrayList<>();
    refuseExpiredAndDispatch(actions, now);
    return actions;
  }

  /** Starts the shutdown: refuses waiting and new requests, while running requests continue. */
  public List<AdmissionAction> drain(Instant now) {
    refusals.setDraining();
    List<AdmissionAction> actions = new ArrayList<>();
    refuseWaiting(actions, now);
    return actions;
  }

  /**
   * Returns the time after which {@link #tick} may have a ticket to refuse, if any ticket waits.
   */
  public Optional<Instant> nextTick() {
    return Optional.ofNullable(expiries.peek()).map(Expiry::latestStart);
  }

  /** Returns the number of waiting tickets. */
  public int waiting() {
    return queues.values().stream().mapToInt(ClassQueue::size).sum();
  }

  /** Returns the number of requests that hold a slot of the server. */
  public int inUse(String server) {
    ServerSlots s = servers.get(server);
    return s == null ? 0 : s.inUse();
  }

  /** Returns the current concurrency limit of the server. */
  public int limit(String server) {
    ServerSlots s = servers.get(server);
    return s == null ? 0 : s.limit();
  }

  private void setClasses(Collection<RequestClass> newClasses) {
    classes = List.copyOf(newClasses);
    for (RequestClass c : classes) {
      queues
          .computeIfAbsent(c.name(), n -> new ClassQueue(c, settings.initialServiceTime()))
          .setRequestClass(c);
    }
  }

  /**
   * Reserves slots on the servers where a class's requests may run: on the primary for all classes,
   * on replicas only for classes with recent reads.
   */
  private void updateReservations(Instant now) {
    List<RequestClass> readers =
        classes.stream().filter(c -> queue(c.name()).hasRecentReads(now)).toList();
    classesReservedOnReplicas = readers;
    servers.forEach((name, s) -> s.setReserved(name.equals(primary) ? classes : readers));
  }

  private boolean haveReplicaReservationsChanged(Instant now) {
    return classes.stream()
        .anyMatch(
            c -> queue(c.name()).hasRecentReads(now) != classesReservedOnReplicas.contains(c));
  }

  /** Refuses tickets that can no longer meet their deadline, then fills the free slots. */
  private void refuseExpiredAndDispatch(List<AdmissionAction> actions, Instant now) {
    if (haveReplicaReservationsChanged(now)) {
      updateReservations(now);
    }
    while (!expiries.isEmpty() && expiries.peek().latestStart().isBefore(now)) {
      Ticket ticket = expiries.remove().ticket();
      ClassQueue queue = queue(ticket.requestClass());
      if (queue.remove(ticket)) {
        actions.add(refusals.refuse(queue, ticket, NotRunReason.DEADLINE_TOO_CLOSE, now));
      }
    }
    while (dispatchNext(actions, now)) {
      // Each iteration fills one slot.
    }
  }

  private boolean dispatchNext(List<AdmissionAction> actions, Instant now) {
    if (servers.values().stream().allMatch(s -> s.inUse() >= s.limit())) {
      return false;
    }
    List<ClassQueue> order =
        queues.values().stream()
            .filter(q -> q.size() > 0)
            .sorted(Comparator.comparingDouble(ClassQueue::startTag))
            .toList();
    for (ClassQueue queue : order) {
      if (dispatchFrom(queue, true, actions, now) || dispatchFrom(queue, false, actions, now)) {
        return true;
      }
    }
    return false;
  }

  private boolean dispatchFrom(
      ClassQueue queue, boolean needsPrimary, List<AdmissionAction> actions, Instant now) {
    if (servers.values().stream().noneMatch(s -> s.isFreeFor(queue.name()))) {
      return false;
    }
    int scanned = 0;
    for (Ticket ticket : queue.tickets(needsPrimary)) {
      for (String server : chooser.eligible(ticket, now)) {
        ServerSlots s = servers.get(server);
        boolean isAllowed = !needsPrimary || server.equals(primary);
        if (s != null && isAllowed && s.isFreeFor(queue.name())) {
          actions.add(dispatch(queue, ticket, server, s));
          return true;
        }
      }
      if (++scanned == MAX_SCANNED_PER_DISPATCH) {
        return false;
      }
    }
    return false;
  }

  private AdmissionAction dispatch(
      ClassQueue queue, Ticket ticket, String server, ServerSlots slots) {
    AdmissionInvariant.ONE_ENDING_PER_TICKET.check(queue.remove(ticket), ticket);
    slots.take(queue.name());
    running.put(ticket.id(), new Running(ticket, server));
    virtualTime = Math.max(virtualTime, queue.startTag());
    queue.advanceStartTag();
    return new AdmissionAction.Dispatch(ticket, server);
  }

  /**
   * Re-evaluates all waiting tickets after a change of capacity, and refuses those whose predicted
   * wait no longer meets their deadline.
   */
  private List<AdmissionAction> reevaluateWaiting(Instant now) {
    List<AdmissionAction> actions = new ArrayList<>();
    updateReservations(now);
    refuseExpiredAndDispatch(actions, now);
    for (ClassQueue queue : queues.values()) {
      for (boolean needsPrimary : new boolean[] {true, false}) {
        int before = 0;
        for (Ticket ticket : List.copyOf(queue.tickets(needsPrimary))) {
          Optional<NotRunReason> reason = refusals.checkWait(queue, ticket, before, now);
          if (reason.isPresent()) {
            queue.remove(ticket);
            actions.add(refusals.refuse(queue, ticket, reason.get(), now));
          } else {
            before++;
          }
        }
      }
    }
    return actions;
  }

  private void refuseWaiting(List<AdmissionAction> actions, Instant now) {
    for (ClassQueue queue : queues.values()) {
      for (boolean needsPrimary : new boolean[] {true, false}) {
        for (Iterator<Ticket> i = queue.tickets(needsPrimary).iterator(); i.hasNext(); ) {
          Ticket ticket = i.next();
          i.remove();
          actions.add(refusals.refuse(queue, ticket, NotRunReason.SHUTTING_DOWN, now));
        }
      }
    }
  }

  private ClassQueue queue(String requestClass) {
    return Objects.requireNonNull(queues.get(requestClass), requestClass);
  }

  private ServerSlots slots(String server) {
    return Objects.requireNonNull(servers.get(server), server);
  }
}
