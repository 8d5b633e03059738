package org.chicorylane.internal.caller;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer, ready to be sent over either protocol.
 *
 * @param status the HTTP status
 * @param headers the header fields, without those that belong to the connection
 * @param body the JSON text
 */
record CallerResponse(int status, HttpHeaders headers, String body) {}
