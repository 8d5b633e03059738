package org.chicorylane.internal.caller;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;

/** Result of receiving a request: a complete request, or the problem that prevented it. */
sealed interface ReceivedRequest {

  /**
   * A complete request.
   *
   * @param method the HTTP method
   * @param uri the request target
   * @param headers the header fields
   * @param body the body
   * @param keepAlive whether the connection may stay open after the response
   */
  record Complete(
      String method, String uri, HttpHeaders headers, ByteString body, boolean keepAlive)
      implements ReceivedRequest {}

  /**
   * A request that is rejected before it is complete. Its connection or stream accepts no further
   * request.
   *
   * @param problem the reason for the rejection
   */
  record Rejected(Problem problem) implements ReceivedRequest {}
}
