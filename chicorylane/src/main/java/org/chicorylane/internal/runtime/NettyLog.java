package org.chicorylane.internal.runtime;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.Arrays;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.jspecify.annotations.Nullable;

/**
 * A Netty logger factory that writes Netty's warnings and errors to the decision log, as events
 * {@code netty}. Lower levels are disabled. Install it before any other use of Netty: this also
 * keeps Netty from searching for logging libraries, which slows process start.
 *
 * <pre>{@code
 * NettyLog.install();
 * }</pre>
 *
 * <p>Thread-safe. Messages before {@link #writeTo}, or after its thread has ended, go to standard
 * error.
 */
public final class NettyLog extends InternalLoggerFactory {

  /** The log that receives the lines, and the thread that writes to it. */
  record Target(DecisionLog log, Executor thread) {}

  private static volatile @Nullable Target target;

  private NettyLog() {}

  /** Installs this factory as Netty's default. */
  public static void install() {
    InternalLoggerFactory.setDefaultFactory(new NettyLog());
  }

  /**
   * Sets the log for later messages.
   *
   * @param thread runs the tasks that write to the log
   */
  public static void writeTo(DecisionLog log, Executor thread) {
    target = new Target(log, thread);
  }

  @Override
  protected InternalLogger newInstance(String name) {
    return new Logger(name, null);
  }

  /** Returns a logger that writes to {@code ownTarget} instead of the default target. */
  static InternalLogger logger(String name, Target ownTarget) {
    return new Logger(name, ownTarget);
  }

  private static void write(
      @Nullable Target to,
      String level,
      String name,
      @Nullable String message,
      @Nullable Throwable cause) {
    if (to == null) {
      writeToStandardError(level, name, message, cause);
      return;
    }
    try {
      to.thread()
          .execute(
              () ->
                  to.log()
                      .event(DecisionLog.Priority.FAILURE, "netty")
                      .with("level", level)
                      .with("logger", name)
                      .with("message", message)
                      .with("cause", cause)
                      .write());
    } catch (RejectedExecutionException e) {
      // The log's thread has ended; logging must not throw to its caller.
      writeToStandardError(level, name, message, cause);
    }
  }

  private static void writeToStandardError(
      String level, String name, @Nullable String message, @Nullable Throwable cause) {
    System.err.println(level + " " + name + ": " + message + (cause == null ? "" : " " + cause));
  }

  /** The logger of one Netty class. */
  private static final class Logger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;

    private final transient @Nullable Target ownTarget;

    Logger(String name, @Nullable Target ownTarget) {
      super(name);
      this.ownTarget = ownTarget;
    }

    private @Nullable Target effectiveTarget() {
      return ownTarget == null ? target : ownTarget;
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
      return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public void warn(String message) {
      write(effectiveTarget(), "WARN", name(), message, null);
    }

    @Override
    public void warn(String format, Object argument) {
      warn(format, new Object[] {argument});
    }

    @Override
    public void warn(String format, Object first, Object second) {
      warn(format, new Object[] {first, second});
    }

    @Override
    public void warn(String format, Object... arguments) {
      write(effectiveTarget(), "WARN", name(), format + " " + Arrays.toString(arguments), null);
    }

    @Override
    public void warn(String message, Throwable cause) {
      write(effectiveTarget(), "WARN", name(), message, cause);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String message) {
      write(effectiveTarget(), "ERROR", name(), message, null);
    }

    @Override
    public void error(String format, Object argument) {
      error(format, new Object[] {argument});
    }

    @Override
    public void error(String format, Object first, Object second) {
      error(format, new Object[] {first, second});
    }

    @Override
    public void error(String format, Object... arguments) {
      write(effectiveTarget(), "ERROR", name(), format + " " + Arrays.toString(arguments), null);
    }

    @Override
    public void error(String message, Throwable cause) {
      write(effectiveTarget(), "ERROR", name(), message, cause);
    }
  }
}
