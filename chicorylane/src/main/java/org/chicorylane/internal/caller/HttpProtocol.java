package org.chicorylane.internal.caller;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.ssl.SslHandler;

/** How an exchange ends on each protocol. */
enum HttpProtocol {
  /** One connection carries one exchange after another. */
  HTTP_1 {
    @Override
    void markLastResponse(HttpHeaders headers) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    @Override
    void closeAfterLastResponse(Channel channel) {
      // Closing while unread bytes are there would reset the connection and lose the answer.
      if (channel instanceof SocketChannel socket
          && channel.pipeline().get(SslHandler.class) == null) {
        socket.shutdownOutput();
      } else {
        channel.close();
      }
    }
  },
  /** One stream carries one exchange. */
  HTTP_2 {
    @Override
    void markLastResponse(HttpHeaders headers) {}

    @Override
    void closeAfterLastResponse(Channel channel) {
      channel.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.NO_ERROR));
    }
  };

  /** Says in an answer that the connection ends after it. */
  abstract void markLastResponse(HttpHeaders headers);

  /** Ends the connection or stream after its last answer. */
  abstract void closeAfterLastResponse(Channel channel);

  /** Returns whether, during a drain, the connection ends with its next answer. */
  boolean closesAfterResponse() {
    return this == HTTP_1;
  }
}
