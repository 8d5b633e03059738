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
 * The queue before the slots of one database group, at its home: decides which request runs next
 * and refuses at once what could not run in time.
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
 * <p>Classes share the slots' time by their weights with start-time fair queueing (P. Goyal, H. M.
 * Vin, H. Cheng: Start-time Fair Queueing, SIGCOMM 1996), with a request's mean service time as its
 * length. Within a class, first come is first served. A class's reserved slots are kept for it on
 * the primary, and on replicas if it has reads.
 *
 * <p>A pure core: no I/O, threads or clock. Every event method takes the time and returns what to
 * do. Not thread-safe: one thread, or a lock, per group. The chooser is called within events and
 * must not call back. A caller must perform every returned action: a dispatched ticket holds its
 * slot until {@link #releaseSlot}.
 */
public final class AdmissionQueue {
  private static final int MAX_SCANNED_PER_LANE = 8;

  private record Running(Ticket ticket, String server) {}

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
  private List<RequestClass> readersReserved = List.of();
  private @Nullable String primary;
  private double virtualTime;

  /**
   * Creates a queue without servers.
   *
   * @param settings the limits
   * @param policy how a server's limit follows what the server does
   * @param classes the request classes in force
   * @param chooser says which servers may run a ticket
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

  /** A request arrived. */
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
    Optional<NotRunReason> refusal = refusals.onArrival(queue, ticket, now);
    if (refusal.isPresent()) {
      actions.add(refusals.refuse(queue, ticket, refusal.get(), now));
    } else {
      queue.add(ticket, virtualTime);
      expiries.add(new Expiry(ticket.deadline().minus(queue.serviceTime()), ticket));
    }
    settle(actions, now);
    return actions;
  }

  /**
   * A dispatched request has left its server.
   *
   * @param ticketId the ticket's id
   * @param serviceTime how long it held the slot
   * @param outcome how it ended
   * @throws IllegalArgumentException if no such ticket holds a slot
   */
  public List<AdmissionAction> releaseSlot(
      String ticketId, Duration serviceTime, ServiceOutcome outcome, Instant now) {
    Running r = running.remove(ticketId);
    if (r == null) {
      throw new IllegalArgumentException("no ticket \"" + ticketId + "\" holds a slot");
    }
    String requestClass = r.ticket().requestClass();
    slots(r.server()).free(requestClass, outcome);
    if (outcome == ServiceOutcome.OK) {
      queue(requestClass).observe(serviceTime);
      refusals.onSuccess();
    }
    List<AdmissionAction> actions = new ArrayList<>();
    settle(actions, now);
    return actions;
  }

  /**
   * A server has that many slots from now on; it starts slowly if it had none.
   *
   * @param slots 0 if the server takes no new work
   */
  public List<AdmissionAction> setServerSlots(String server, int slots, Instant now) {
    servers.computeIfAbsent(server, s -> new ServerSlots(s, policy)).setSlots(slots);
    return afterChange(now);
  }

  /** The primary is known and takes work. */
  public List<AdmissionAction> setPrimary(String server, Instant now) {
    primary = server;
    refusals.setPrimary(server, null);
    return afterChange(now);
  }

  /**
   * There is no primary.
   *
   * @param expected when there should be one again; null if that is not known, so whatever needs
   *     the primary is refused
   */
  public List<AdmissionAction> clearPrimary(@Nullable Instant expected, Instant now) {
    primary = null;
    refusals.setPrimary(null, expected);
    return afterChange(now);
  }

  /** Other request classes are in force; requests of removed classes that wait still run. */
  public List<AdmissionAction> updateClasses(Collection<RequestClass> changed, Instant now) {
    setClasses(changed);
    return afterChange(now);
  }

  /** Time has passed, or what the chooser answers may have changed. */
  public List<AdmissionAction> tick(Instant now) {
    List<AdmissionAction> actions = new ArrayList<>();
    settle(actions, now);
    return actions;
  }

  /** The instance shuts down: whatever waits or comes is refused; what runs goes on. */
  public List<AdmissionAction> drain(Instant now) {
    refusals.setDraining();
    List<AdmissionAction> actions = new ArrayList<>();
    refuseWaiting(actions, now);
    return actions;
  }

  /** Returns when {@link #tick} has something to refuse, if anything waits. */
  public Optional<Instant> nextTick() {
    return Optional.ofNullable(expiries.peek()).map(Expiry::latestStart);
  }

  /** Returns how many tickets wait. */
  public int waiting() {
    return queues.values().stream().mapToInt(ClassQueue::size).sum();
  }

  /** Returns how many requests hold a slot of the server. */
  public int inUse(String server) {
    ServerSlots s = servers.get(server);
    return s == null ? 0 : s.inUse();
  }

  /** Returns how many requests the server may run at the same time at the moment. */
  public int limit(String server) {
    ServerSlots s = servers.get(server);
    return s == null ? 0 : s.limit();
  }

  private void setClasses(Collection<RequestClass> changed) {
    classes = List.copyOf(changed);
    for (RequestClass c : classes) {
      queues
          .computeIfAbsent(c.name(), n -> new ClassQueue(c, settings.initialServiceTime()))
          .setRequestClass(c);
    }
  }

  /** Reserves slots where requests of a class may have to run: for mere writers, the primary. */
  private void reserve(Instant now) {
    List<RequestClass> readers =
        classes.stream().filter(c -> queue(c.name()).readsLately(now)).toList();
    readersReserved = readers;
    servers.forEach((name, s) -> s.setReserved(name.equals(primary) ? classes : readers));
  }

  private boolean readersChanged(Instant now) {
    return classes.stream()
        .anyMatch(c -> queue(c.name()).readsLately(now) != readersReserved.contains(c));
  }

  /** Refuses what can't be met any more, then fills the free slots. */
  private void settle(List<AdmissionAction> actions, Instant now) {
    if (readersChanged(now)) {
      reserve(now);
    }
    while (!expiries.isEmpty() && expiries.peek().latestStart().isBefore(now)) {
      Ticket ticket = expiries.remove().ticket();
      ClassQueue queue = queue(ticket.requestClass());
      if (queue.remove(ticket)) {
        actions.add(refusals.refuse(queue, ticket, NotRunReason.DEADLINE_TOO_CLOSE, now));
      }
    }
    while (dispatchNext(actions, now)) {
      // Each round fills one slot.
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
    for (Ticket ticket : queue.lane(needsPrimary)) {
      for (String server : chooser.eligible(ticket, now)) {
        ServerSlots s = servers.get(server);
        boolean mayRun = !needsPrimary || server.equals(primary);
        if (s != null && mayRun && s.isFreeFor(queue.name())) {
          actions.add(dispatch(queue, ticket, server, s));
          return true;
        }
      }
      if (++scanned == MAX_SCANNED_PER_LANE) {
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
    queue.advance();
    return new AdmissionAction.Dispatch(ticket, server);
  }

  /** Predicts anew for all that wait, as capacity has changed, and refuses what is hopeless. */
  private List<AdmissionAction> afterChange(Instant now) {
    List<AdmissionAction> actions = new ArrayList<>();
    reserve(now);
    settle(actions, now);
    for (ClassQueue queue : queues.values()) {
      for (boolean needsPrimary : new boolean[] {true, false}) {
        int before = 0;
        for (Ticket ticket : List.copyOf(queue.lane(needsPrimary))) {
          Optional<NotRunReason> reason = refusals.byWait(queue, ticket, before, now);
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
        for (Iterator<Ticket> i = queue.lane(needsPrimary).iterator(); i.hasNext(); ) {
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
