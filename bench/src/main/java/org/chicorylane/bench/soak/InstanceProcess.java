package org.chicorylane.bench.soak;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.chicorylane.standin.wire.InstanceSettings;
import org.jspecify.annotations.Nullable;

/** An instance in a process of its own, which is started again whenever it ends. */
final class InstanceProcess implements AutoCloseable {

  private static final long RESTART_DELAY_MILLIS = 700;

  private static final int PAGE_TIMEOUT_MILLIS = 400;

  private static final String SETTINGS_VARIABLE = "CHICORYLANE_CONFIG";

  private final String name;
  private final InstanceSettings settings;
  private final List<String> command;
  private final Path logs;
  private final ScheduledExecutorService executor;
  private final Timeline timeline;
  private final LongSupplier clock;
  private @Nullable Process process;
  private boolean closed;

  /** Time at which a pause last began or ended; 0 if the process was never paused. */
  private volatile long lastPausedNanos;

  /**
   * Writes the settings file and starts the process.
   *
   * @param logs the folder for the settings file and the log
   * @param executor runs the restarts
   * @param clock returns a monotonic time in nanoseconds
   */
  InstanceProcess(
      String name,
      InstanceSettings settings,
      List<String> command,
      Path logs,
      ScheduledExecutorService executor,
      Timeline timeline,
      LongSupplier clock)
      throws IOException {
    this.name = name;
    this.settings = settings;
    this.command = command;
    this.logs = logs;
    this.executor = executor;
    this.timeline = timeline;
    this.clock = clock;
    Files.writeString(settingsFile(), settings.toJson());
    start();
  }

  String name() {
    return name;
  }

  /** Returns host and port for clients. */
  String clientAddress() {
    return settings.clientAddress();
  }

  private Path settingsFile() {
    return logs.resolve(name + ".json");
  }

  private synchronized void start() throws IOException {
    if (closed) {
      return;
    }
    File log = logs.resolve(name + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put(SETTINGS_VARIABLE, settingsFile().toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    Process started = builder.start();
    process = started;
    timeline.event(name + " starts, process " + started.pid());
    started
        .onExit()
        .thenRun(
            () -> executor.schedule(this::restart, RESTART_DELAY_MILLIS, TimeUnit.MILLISECONDS));
  }

  private void restart() {
    try {
      start();
    } catch (IOException e) {
      timeline.violation("HARNESS", name + " could not be started again: " + e.getMessage());
    }
  }

  /** Sends a signal of the given name to the process, if it runs. */
  synchronized void signal(String signal) throws IOException {
    Process current = process;
    if (current == null || !current.isAlive()) {
      return;
    }
    timeline.event(name + " gets SIG" + signal);
    if (signal.equals("STOP") || signal.equals("CONT")) {
      lastPausedNanos = clock.getAsLong();
    }
    new ProcessBuilder("kill", "-" + signal, Long.toString(current.pid())).start();
  }

  /** Returns whether the process was paused in the last {@code millis} milliseconds. */
  boolean wasPausedWithin(long millis) {
    return lastPausedNanos != 0
        && clock.getAsLong() - lastPausedNanos < TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Returns whether the readiness page tells that the instance takes connections. */
  boolean isReady() {
    try {
      URI page = URI.create("http://" + settings.readinessAddress() + "/-/readiness");
      HttpURLConnection connection = (HttpURLConnection) page.toURL().openConnection();
      connection.setConnectTimeout(PAGE_TIMEOUT_MILLIS);
      connection.setReadTimeout(PAGE_TIMEOUT_MILLIS);
      return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
    } catch (IOException e) {
      // No answer means not ready, as for the platform.
      return false;
    }
  }

  @Override
  public void close() {
    Process current;
    synchronized (this) {
      closed = true;
      current = process;
    }
    if (current != null) {
      current.destroyForcibly().onExit().join();
    }
  }
}
