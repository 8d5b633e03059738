/**
 * The statements of clients, the commands that an instance sends to backend servers, and the
 * answers to both, without any wire format. The text of a statement reaches the backend server
 * unchanged. Start with {@link org.chicorylane.internal.passthrough.ClientStatement} and {@link
 * org.chicorylane.internal.passthrough.ServerConnector}.
 */
@NullMarked
package org.chicorylane.internal.passthrough;

import org.jspecify.annotations.NullMarked;
