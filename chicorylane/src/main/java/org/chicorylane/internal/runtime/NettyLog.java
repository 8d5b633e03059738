package org.chicorylane.internal.runtime;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.Arrays;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.jspecify.annotations.Nullable;

/**
 * Passes on what Netty warns of to the decision log, as events {@code netty}. Lower levels are left
 * out. Installed before any other use of Netty, it also keeps a starting process from searching for
 * logging libraries.
 *
 * <pre>{@code
 * NettyLog.install();
 * }</pre>
 *
 * <p>Thread-safe; what comes before {@link #writeTo}, or after its thread has ended, goes to
 * standard error.
 */
public final class NettyLog extends InternalLoggerFactory {

  /** Where lines go, and the thread that writes them. */
  record Target(DecisionLog log, Executor thread) {}

  private static volatile @Nullable Target target;

  private NettyLog() {}

  /** Makes Netty log here. */
  public static void install() {
    InternalLoggerFactory.setDefaultFactory(new NettyLog());
  }

  /**
   * Names the log for later lines.
   *
   * @param thread runs what writes to the log
   */
  public static void writeTo(DecisionLog log, Executor thread) {
    target = new Target(log, thread);
  }

  @Override
  protected InternalLogger newInstance(String name) {
    return new Logger(name, null);
  }

  /** Returns a logger that writes to {@code own}, whatever the target of the others. */
  static InternalLogger logger(String name, Target own) {
    return new Logger(name, own);
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
      // The log's thread has ended; a logger must not fail whoever logs.
      writeToStandardError(level, name, message, cause);
    }
  }

  private static void writeToStandardError(
      String level, String name, @Nullable String message, @Nullable Throwable cause) {
    System.err.println(level + " " + name + ": " + message + (cause == null ? "" : " " + cause));
  }

  /** A logger of one of Netty's classes. */
  private static final class Logger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;

    private final transient @Nullable Target own;

    Logger(String name, @Nullable Target own) {
      super(name);
      this.own = own;
    }

    private @Nullable Target to() {
      return own == null ? target : own;
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
      write(to(), "WARN", name(), message, null);
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
      write(to(), "WARN", name(), format + " " + Arrays.toString(arguments), null);
    }

    @Override
    public void warn(String message, Throwable cause) {
      write(to(), "WARN", name(), message, cause);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String message) {
      write(to(), "ERROR", name(), message, null);
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
      write(to(), "ERROR", name(), format + " " + Arrays.toString(arguments), null);
    }

    @Override
    public void error(String message, Throwable cause) {
      write(to(), "ERROR", name(), message, cause);
    }
  }
}
