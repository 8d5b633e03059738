package org.chicorylane.bench.load;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** The benchmarks that the bench command can run. */
enum Benchmark {
  DIRECT_AND_PROXIED("direct-and-proxied", 10) {
    @Override
    Object run(BenchOptions options, LatencyPlot plot) throws InterruptedException {
      return new DirectAndProxiedBenchmark(options, plot).run();
    }
  },
  FAILOVER("failover", 12) {
    @Override
    Object run(BenchOptions options, LatencyPlot plot) throws InterruptedException {
      return FailoverBenchmark.run(options, plot);
    }
  },
  BURST("burst", 20) {
    @Override
    Object run(BenchOptions options, LatencyPlot plot) throws InterruptedException {
      return new BurstBenchmark(options, plot).run();
    }
  },
  SLOPES("slopes", 10) {
    @Override
    Object run(BenchOptions options, LatencyPlot plot) throws InterruptedException {
      return SlopesBenchmark.run(options);
    }
  };

  private final String text;
  private final int defaultSeconds;

  Benchmark(String text, int defaultSeconds) {
    this.text = text;
    this.defaultSeconds = defaultSeconds;
  }

  /** Returns the benchmark's name on the command line. */
  String text() {
    return text;
  }

  int defaultSeconds() {
    return defaultSeconds;
  }

  /** Runs the benchmark and returns a report that Gson can write. */
  abstract Object run(BenchOptions options, LatencyPlot plot) throws InterruptedException;

  static Optional<Benchmark> of(String text) {
    return Arrays.stream(values()).filter(b -> b.text.equals(text)).findFirst();
  }

  static String names() {
    return Arrays.stream(values()).map(Benchmark::text).collect(Collectors.joining("|"));
  }
}
