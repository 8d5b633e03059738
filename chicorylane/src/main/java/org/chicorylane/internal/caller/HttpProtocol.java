package org.chicorylane.internal.caller;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.ssl.SslHandler;

/** HTTP version of a connection, with its way to end the connection or stream. */
enum HttpProtocol {
  /** HTTP/1.1, where a connection carries one exchange after another. */
  HTTP_1 {
    @Override
    void markLastResponse(HttpHeaders headers) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    @Override
    void closeAfterLastResponse(Channel channel) {
      // Closing a socket with unread bytes resets the connection, and the response is lost. Hence
      // only the output is shut down here; ExchangeHandler closes the socket later.
      if (channel instanceof SocketChannel socket
          && channel.pipeline().get(SslHandler.class) == null) {
        socket.shutdownOutput();
      } else {
        channel.close();
      }
    }
  },
  /** HTTP/2, where a stream carries a single exchange. */
  HTTP_2 {
    @Override
    void markLastResponse(HttpHeaders headers) {}

    @Override
    void closeAfterLastResponse(Channel channel) {
      channel.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.NO_ERROR));
    }
  };

  /**
   * Marks a response as the last one of its connection. Does nothing for HTTP/2, where a stream has
   * only one response.
   */
  abstract void markLastResponse(HttpHeaders headers);

  /** Ends the connection or stream after its last response. */
  abstract void closeAfterLastResponse(Channel channel);

  /** Returns whether the connection ends with its next response during a drain. */
  boolean closesAfterResponse() {
    return this == HTTP_1;
  }
}
