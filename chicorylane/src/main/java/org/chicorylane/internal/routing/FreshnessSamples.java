package org.chicorylane.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Bounded history of the primary's log end, from which an upper bound on the age of the data at an
 * offset is computed.
 *
 * <p>A sample pairs the instant at which the primary was asked for the end of its log with the
 * offset that it reported. A server that has replayed this offset holds everything that was
 * committed before the instant. When the history is full, every second sample of its older half is
 * dropped: ages of old data become less precise but are never understated. Not thread-safe.
 */
public final class FreshnessSamples {
  private record Sample(Instant sentAt, long offset) {}

  private final int capacity;
  private final List<Sample> samples = new ArrayList<>();

  /** Creates an empty history of at most {@code capacity} samples. */
  public FreshnessSamples(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a sample. Ignores one that is out of order: sent earlier than the newest sample, or with a
   * lower offset.
   */
  public void add(Instant sentAt, long offset) {
    if (!samples.isEmpty()) {
      Sample last = samples.get(samples.size() - 1);
      if (sentAt.isBefore(last.sentAt()) || offset < last.offset()) {
        return;
      }
      if (offset == last.offset()) {
        samples.remove(samples.size() - 1);
      }
    }
    samples.add(new Sample(sentAt, offset));
    if (samples.size() > capacity) {
      thinOlderHalf();
    }
  }

  /** Removes all samples. */
  public void clear() {
    samples.clear();
  }

  /**
   * Returns the maximum age of data replayed up to {@code offset}; empty if all samples have higher
   * offsets.
   */
  public Optional<Duration> age(long offset, Instant now) {
    int low = 0;
    int high = samples.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (samples.get(middle).offset() <= offset) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0
        ? Optional.empty()
        : Optional.of(Duration.between(samples.get(low - 1).sentAt(), now));
  }

  /**
   * Returns the lowest sampled offset whose data is at most {@code maximumAge} old; empty if no
   * sample is that recent.
   */
  public Optional<Long> offsetWithin(Duration maximumAge, Instant now) {
    Instant oldest = now.minus(maximumAge);
    return samples.stream()
        .filter(s -> !s.sentAt().isBefore(oldest))
        .map(Sample::offset)
        .findFirst();
  }

  private void thinOlderHalf() {
    List<Sample> kept = new ArrayList<>();
    for (int i = 0; i < samples.size(); i++) {
      if (i >= samples.size() / 2 || i % 2 == 0) {
        kept.add(samples.get(i));
      }
    }
    samples.clear();
    samples.addAll(kept);
  }
}
