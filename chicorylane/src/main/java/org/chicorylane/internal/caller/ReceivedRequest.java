package org.chicorylane.internal.caller;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;

/** What a connection or stream received: a whole request, or why there is none. */
sealed interface ReceivedRequest {

  /**
   * A whole request.
   *
   * @param method the HTTP method
   * @param uri the request target
   * @param headers the header fields
   * @param body the body
   * @param keepAlive whether the connection may stay open after the answer
   */
  record Complete(
      String method, String uri, HttpHeaders headers, ByteString body, boolean keepAlive)
      implements ReceivedRequest {}

  /** A request that is refused before it is whole; the connection cannot go on. */
  record Rejected(Problem problem) implements ReceivedRequest {}
}
