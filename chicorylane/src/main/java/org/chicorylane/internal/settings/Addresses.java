package org.chicorylane.internal.settings;

import java.net.InetSocketAddress;

/**
 * Where an instance listens.
 *
 * @param caller HTTP for callers, over TCP
 * @param relay for other instances, over TCP
 * @param membership for other instances, over UDP
 * @param operator HTTP for operators, over TCP
 */
public record Addresses(
    InetSocketAddress caller,
    InetSocketAddress relay,
    InetSocketAddress membership,
    InetSocketAddress operator) {}
