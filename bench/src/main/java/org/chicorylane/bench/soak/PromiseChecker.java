package org.chicorylane.bench.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.ToLongBiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chicorylane.standin.wire.InstanceSettings;
import org.chicorylane.standin.wire.LogEntry;
import org.chicorylane.standin.wire.ReplicatedGroup;
import org.chicorylane.standin.wire.ReplicatedGroupListener;
import org.chicorylane.standin.wire.ReplicatedServer;

/**
 * Compares what the clients of a soak were told with the logs of the database groups. The state of
 * each group is guarded by the group's lock.
 */
final class PromiseChecker implements ReplicatedGroupListener {

  /** The largest permitted age of reads, in milliseconds, as the configuration declares it. */
  private static final long MAX_STALENESS_MILLIS = 2_500;

  private static final int MAX_LISTED = 3;

  /** A statement with the name of a prepared one. */
  private static final Pattern NAMED =
      Pattern.compile("(EXECUTE|PREPARE) [^ ]*(.*)", Pattern.DOTALL);

  /** What instances send on their own. */
  private static final Pattern OWN_TEXT =
      Pattern.compile("BEGIN( READ)?|ROLLBACK|DISCARD|STATUS|RESUME|(PAUSE|STEPDOWN) [0-9]+");

  private static final String PRIMARY = "primary";
  private static final String OWN_WRITES = "read_your_writes";

  /** A commit whose success a client was told. */
  private record Acknowledged(String requestId, String session, long nanos) {}

  /** A read that a client has sent. */
  private record PendingRead(String kind, String session, long sentNanos) {}

  /** What is known about a group. */
  private static final class History {
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    private final Map<String, PendingRead> reads = new HashMap<>();
    private final Map<String, LogEntry> commits = new HashMap<>();
    private final Map<String, Long> commitNanos = new HashMap<>();
    private final Set<String> refused = new HashSet<>();

    /** Number of acknowledged commits, from the oldest on, that a server was seen to hold. */
    private final Map<ReplicatedServer, Integer> verified = new HashMap<>();

    private String lastPromotion = "";
    private long lastPromotionNanos;
    private long token;
    private String tokenHolder = "";
    private long total;
  }

  private final Timeline timeline;
  private final Predicate<String> excusesToken;
  private final ToLongBiFunction<ReplicatedServer, Long> drainedNanos;
  private final BiConsumer<ReplicatedGroup, PromotionCall> onPromotionOrdered;
  private final Map<String, History> histories = new ConcurrentHashMap<>();
  private final Set<String> run = ConcurrentHashMap.newKeySet();

  /** The texts of the clients' statements by request id, without the names of prepared ones. */
  private final Map<String, String> sent = new ConcurrentHashMap<>();

  /** The values and prepared statements of clients, which instances set and prepare themselves. */
  private final Set<String> sessionTexts = ConcurrentHashMap.newKeySet();

  /**
   * Creates a checker.
   *
   * @param excusesToken tells whether an instance was paused so lately that it may call with a
   *     lower token
   * @param drainedNanos tells for how long a server has been draining at a time, 0 if it is not or
   *     if a statement may reach it late
   * @param onPromotionOrdered called when a promotion was accepted
   */
  PromiseChecker(
      Timeline timeline,
      Predicate<String> excusesToken,
      ToLongBiFunction<ReplicatedServer, Long> drainedNanos,
      BiConsumer<ReplicatedGroup, PromotionCall> onPromotionOrdered) {
    this.timeline = timeline;
    this.excusesToken = excusesToken;
    this.drainedNanos = drainedNanos;
    this.onPromotionOrdered = onPromotionOrdered;
  }

  /** Notes that a client is about to send a read or the transaction that contains it. */
  void onReadSent(
      ReplicatedGroup group, String requestId, String kind, String session, long sentNanos) {
    synchronized (group) {
      history(group).reads.put(requestId, new PendingRead(kind, session, sentNanos));
    }
  }

  /** Notes that a client is about to send a statement. */
  void onStatementSent(String requestId, String text) {
    sent.put(requestId, withoutName(text));
    if (text.startsWith("SET ") || text.startsWith("PREPARE ")) {
      sessionTexts.add(withoutName(text));
    }
  }

  /** Returns a text without the name of a prepared statement, which instances may replace. */
  private static String withoutName(String text) {
    Matcher named = NAMED.matcher(text);
    return named.matches() ? named.group(1) + named.group(2) : text;
  }

  @Override
  public void onStatement(ReplicatedServer server, String requestId, String text) {
    boolean isOwn = requestId.equals("-");
    String bare = withoutName(text);
    boolean isAsked =
        isOwn
            ? OWN_TEXT.matcher(text).matches() || sessionTexts.contains(bare)
            : bare.equals(sent.get(requestId));
    if (!isAsked) {
      timeline.violation(
          "UNASKED",
          String.format(
              Locale.ROOT,
              "%s received \"%s\" as %s, for which \"%s\" was sent",
              server.describe(),
              printable(text),
              printable(requestId),
              printable(sent.getOrDefault(requestId, ""))));
    }
  }

  /** Returns a text in one line, with a question mark for each byte that is not printable. */
  static String printable(String text) {
    return text.replace("\n", "\\n").replace("\r", "\\r").replaceAll("[^ -~]", "?");
  }

  /** Notes that a client was told that its write or commit succeeded. */
  void onAcknowledged(ReplicatedGroup group, String requestId, String session) {
    synchronized (group) {
      History h = history(group);
      h.total++;
      if (group.primary().hasReceived(requestId)) {
        h.acknowledged.add(new Acknowledged(requestId, session, System.nanoTime()));
        return;
      }
      long commitNanos = h.commitNanos.getOrDefault(requestId, 0L);
      boolean afterPromotion = commitNanos > h.lastPromotionNanos;
      timeline.violation(
          afterPromotion ? "ONE" : "LOST",
          String.format(
              Locale.ROOT,
              "group %s: commit of %s, made %d ms and acknowledged to %s now, %d ms after %s; the"
                  + " primary %s lacks it; it is at %s",
              group.name(),
              requestId,
              millisSince(commitNanos),
              session,
              millisSince(h.lastPromotionNanos),
              h.lastPromotion,
              group.primary().describe(),
              holders(group, requestId)));
    }
  }

  /** Notes that a client was promised that nothing of its statement is kept. */
  void onRefused(ReplicatedGroup group, String requestId) {
    synchronized (group) {
      history(group).refused.add(requestId);
    }
  }

  /** Returns whether a server has run a statement. */
  boolean hasRun(String requestId) {
    return run.contains(requestId);
  }

  /** Returns the number of commits in a group of which clients were told. */
  long acknowledgedCount(ReplicatedGroup group) {
    synchronized (group) {
      return history(group).total;
    }
  }

  /** Checks the final logs, when no statement runs any more. */
  void finish(ReplicatedGroup group) {
    synchronized (group) {
      History h = history(group);
      ReplicatedServer primary = group.primary();
      for (Acknowledged a : h.acknowledged) {
        if (!primary.hasReceived(a.requestId())) {
          timeline.violation("LOST", group.name() + " lacks " + a + " at the end");
        }
      }
      for (String requestId : h.refused) {
        if (primary.hasReceived(requestId)) {
          timeline.violation("REFUSED", group.name() + " has committed " + requestId);
        }
      }
    }
  }

  @Override
  public void onArrival(ReplicatedServer server, String requestId, long nanos) {
    long millis = TimeUnit.NANOSECONDS.toMillis(drainedNanos.applyAsLong(server, nanos));
    if (millis > InstanceSettings.DRAIN_MILLIS) {
      timeline.violation(
          "DRAIN",
          requestId + " reached " + server.describe() + ", draining for " + millis + " ms");
    }
  }

  @Override
  public void onRead(ReplicatedServer server, String requestId) {
    run.add(requestId);
    History h = history(server.group());
    PendingRead read = h.reads.get(requestId);
    if (read == null) {
      timeline.violation(
          "UNASKED", server.describe() + " ran " + requestId + ", which no client sent");
      return;
    }
    int from = h.verified.getOrDefault(server, 0);
    while (from < h.acknowledged.size() && server.sees(h.acknowledged.get(from).requestId())) {
      from++;
    }
    h.verified.put(server, from);
    List<String> missing =
        h.acknowledged.subList(from, h.acknowledged.size()).stream()
            .filter(a -> mustSee(read, a) && !server.sees(a.requestId()))
            .map(a -> a.requestId() + " acknowledged " + millisSince(a.nanos()) + " ms ago")
            .toList();
    if (!missing.isEmpty()) {
      timeline.violation(
          "STALE",
          String.format(
              Locale.ROOT,
              "%s read %s of %s, sent %d ms ago, ran at %s, which lacks %d commits: %s",
              read.kind(),
              requestId,
              read.session(),
              millisSince(read.sentNanos()),
              server.describe(),
              missing.size(),
              missing.subList(0, Math.min(MAX_LISTED, missing.size()))));
    }
  }

  private static boolean mustSee(PendingRead read, Acknowledged commit) {
    long ageNanos = read.sentNanos() - commit.nanos();
    if (read.kind().equals(PRIMARY)
        || (read.kind().equals(OWN_WRITES) && read.session().equals(commit.session()))) {
      return ageNanos > 0;
    }
    return ageNanos > TimeUnit.MILLISECONDS.toNanos(MAX_STALENESS_MILLIS);
  }

  @Override
  public void onCommit(ReplicatedServer server, LogEntry entry) {
    History h = history(server.group());
    Set<String> distinct = new HashSet<>();
    for (String requestId : entry.requestIds()) {
      run.add(requestId);
      LogEntry earlier = h.commits.get(requestId);
      if (!distinct.add(requestId) || (earlier != null && server.holds(earlier))) {
        timeline.violation("TWICE", server.describe() + " commits " + requestId + " again");
      }
      h.commits.put(requestId, entry);
      h.commitNanos.put(requestId, System.nanoTime());
    }
  }

  @Override
  public void onPromotionCalled(ReplicatedGroup group, PromotionCall call, boolean accepted) {
    History h = history(group);
    timeline.event("promotion called: " + call + " accepted " + accepted);
    boolean falls = call.token() < h.token;
    boolean shared = call.token() == h.token && !call.holder().equals(h.tokenHolder);
    if ((falls && !excusesToken.test(call.holder())) || shared) {
      timeline.violation(
          "ONE", call + " after token " + h.token + " of " + h.tokenHolder + " was seen");
    }
    if (!falls) {
      h.token = call.token();
      h.tokenHolder = call.holder();
    }
    if (accepted) {
      onPromotionOrdered.accept(group, call);
    }
  }

  @Override
  public void onPromotion(ReplicatedServer server, PromotionCall call) {
    ReplicatedGroup group = server.group();
    History h = history(group);
    h.lastPromotion = "promotion of " + server.id() + " by " + call.holder() + " took effect";
    h.lastPromotionNanos = System.nanoTime();
    timeline.event(h.lastPromotion + "; " + describe(group));
    List<Acknowledged> missing =
        h.acknowledged.stream().filter(a -> !server.hasReceived(a.requestId())).toList();
    if (!missing.isEmpty()) {
      Acknowledged first = missing.get(0);
      timeline.violation(
          "LOST",
          String.format(
              Locale.ROOT,
              "group %s, %s: its log lacks %d acknowledged commits, first %s of %s, acknowledged"
                  + " %d ms ago; it is at %s",
              group.name(),
              h.lastPromotion,
              missing.size(),
              first.requestId(),
              first.session(),
              millisSince(first.nanos()),
              holders(group, first.requestId())));
    }
    h.acknowledged.removeAll(new HashSet<>(missing));
    h.verified.clear();
  }

  private static String describe(ReplicatedGroup group) {
    return String.join("; ", group.servers().stream().map(ReplicatedServer::describe).toList());
  }

  private static List<String> holders(ReplicatedGroup group, String requestId) {
    return group.servers().stream()
        .filter(s -> s.hasReceived(requestId))
        .map(ReplicatedServer::describe)
        .toList();
  }

  private History history(ReplicatedGroup group) {
    return histories.computeIfAbsent(group.name(), n -> new History());
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }
}
