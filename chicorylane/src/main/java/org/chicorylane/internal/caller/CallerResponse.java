package org.chicorylane.internal.caller;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response that can be sent over HTTP/1.1 or HTTP/2.
 *
 * @param status the HTTP status
 * @param headers the header fields, without those that concern the connection
 * @param body the body, as JSON text
 */
record CallerResponse(int status, HttpHeaders headers, String body) {}
