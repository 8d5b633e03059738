/**
 * The HTTP server of an instance. Callers send SQL as JSON over HTTP/1.1 or HTTP/2 and receive one
 * complete response per request. Responses are not streamed.
 *
 * <p>Start with {@link CallerServer}, which accepts the connections. {@code CallerPipeline} sets up
 * the handlers of a connection, and {@code RequestProcessor} turns a request into a response.
 */
@NullMarked
package org.chicorylane.internal.caller;

import org.jspecify.annotations.NullMarked;
