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

/** The {@code serve} command: runs one instance until SIGTERM, on which it drains and exits. */
public final class ServeCommand implements Command {

  private static final String HELP =
      """
        --settings FILE  the settings of the instance; required
      example: chicorylane serve --settings config/example/instance-1.json
      """;

  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

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
      instance.drain().orTimeout(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).join();
      Logger.info("drained");
    } catch (CompletionException e) {
      Logger.error("not drained within {}; closing with work in progress", DRAIN_TIMEOUT);
    }
    instance.close();
    // A JVM ended by SIGTERM exits with 143 by default. Draining counts as success, so exit with 0.
    Runtime.getRuntime().halt(ExitCode.OK.code());
  }
}
