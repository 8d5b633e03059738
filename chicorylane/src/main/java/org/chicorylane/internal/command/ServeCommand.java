package org.chicorylane.internal.command;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chicorylane.Settings;
import org.chicorylane.internal.instance.Instance;
import org.chicorylane.internal.logging.LogSetup;
import org.tinylog.Logger;

/** Runs one instance until it is told to stop by SIGTERM, which drains it. */
public final class ServeCommand implements Command {

  private static final String HELP =
      """
        --settings FILE  the settings of the instance; required
      example: chicorylane serve --settings config/example/instance-1.json
      """;

  private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "run one instance: --settings FILE";
  }

  @Override
  public String help() {
    return HELP;
  }

  @Override
  public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    Optional<Settings> settings = CheckCommand.readSettings(arguments, err);
    if (settings.isEmpty()) {
      return ExitCode.USAGE;
    }
    LogSetup.apply(settings.get().log());
    try {
      Instance instance = Instance.start(settings.get());
      Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(instance), "drain"));
      new CountDownLatch(1).await();
      return ExitCode.OK;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.OK;
    } catch (RuntimeException e) {
      err.println("chicorylane: the instance could not start: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    }
  }

  private static void drain(Instance instance) {
    Logger.info("draining");
    try {
      instance.drain().orTimeout(DRAIN_LIMIT.toMillis(), TimeUnit.MILLISECONDS).join();
      Logger.info("drained");
    } catch (CompletionException e) {
      Logger.error("not drained within {}; what is left is cut", DRAIN_LIMIT);
    }
    instance.close();
    // A JVM that ends by a signal reports 143; a drained instance has done what it was asked.
    Runtime.getRuntime().halt(ExitCode.OK.code());
  }
}
