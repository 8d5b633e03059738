package org.chicorylane.internal.settings;

import java.net.InetSocketAddress;

/**
 * The addresses that an instance listens on.
 *
 * @param caller HTTP API for callers, over TCP
 * @param relay relay protocol between instances, over TCP
 * @param membership membership protocol between instances, over UDP
 * @param operator HTTP API for operators, over TCP
 */
public record Addresses(
    InetSocketAddress caller,
    InetSocketAddress relay,
    InetSocketAddress membership,
    InetSocketAddress operator) {}
