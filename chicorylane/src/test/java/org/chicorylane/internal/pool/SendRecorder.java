package org.chicorylane.internal.pool;

import java.util.HashMap;
import java.util.Map;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.UnexpectedAnswer;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** A connector that reports each statement which is sent, with the values set before it. */
final class SendRecorder implements ServerConnector {

  /** Receives each statement that is sent to a server. */
  interface SendListener {
    /** A client's statement or commit is sent over a connection on which {@code values} are set. */
    void onSend(String requestId, Map<String, String> values);
  }

  private final ServerConnector delegate;
  private final SendListener sends;

  SendRecorder(ServerConnector delegate, SendListener sends) {
    this.delegate = delegate;
    this.sends = sends;
  }

  @Override
  public void connect(Target target, Listener listener) {
    delegate.connect(
        target,
        new Listener() {
          @Override
          public void onOpen(ServerLink link, @Nullable LogPosition position) {
            listener.onOpen(new Link(link), position);
          }

          @Override
          public void onFailure(ConnectFailure failure, String detail) {
            listener.onFailure(failure, detail);
          }

          @Override
          public void onClosed() {
            listener.onClosed();
          }

          @Override
          public void onUnexpected(UnexpectedAnswer answer) {
            listener.onUnexpected(answer);
          }
        });
  }

  /** A connection whose commands are recorded. */
  private final class Link implements ServerLink {
    private final ServerLink delegate;
    private final Map<String, String> values = new HashMap<>();

    Link(ServerLink delegate) {
      this.delegate = delegate;
    }

    @Override
    public void send(ServerCommand command, AnswerHandler handler) {
      if (command instanceof ServerCommand.SetValue set) {
        values.put(set.name(), set.value());
      } else if (command instanceof ServerCommand.Reset) {
        values.clear();
      }
      String id = command.requestId();
      if (id != null) {
        sends.onSend(id, Map.copyOf(values));
      }
      delegate.send(command, handler);
    }

    @Override
    public boolean isReusable() {
      return delegate.isReusable();
    }

    @Override
    public void close() {
      delegate.close();
    }
  }
}
