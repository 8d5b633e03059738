package org.chicorylane.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Samples of the primary's log end, which tell how old the data at an offset is.
 *
 * <p>A sample is an offset that the primary reported to a question that was sent at an instant;
 * whoever has replayed the offset holds everything committed before that instant. When full, it
 * drops every second one of the older half, so old ages become coarser and never too low. Not
 * thread-safe.
 */
public final class FreshnessSamples {
  private record Sample(Instant sentAt, long offset) {}

  private final int capacity;
  private final List<Sample> samples = new ArrayList<>();

  /** Creates an empty history of at most {@code capacity} samples. */
  public FreshnessSamples(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a sample, unless a later question reported an earlier end. */
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
      thinOut();
    }
  }

  /** Forgets all samples. */
  public void clear() {
    samples.clear();
  }

  /** Returns the age of data up to an offset; empty if no sample is as low. */
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

  /** Returns the lowest sampled offset whose data is young enough; empty if none is. */
  public Optional<Long> offsetWithin(Duration maximumAge, Instant now) {
    Instant oldest = now.minus(maximumAge);
    return samples.stream()
        .filter(s -> !s.sentAt().isBefore(oldest))
        .map(Sample::offset)
        .findFirst();
  }

  private void thinOut() {
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
