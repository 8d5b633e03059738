package org.chicorylane.internal.runtime;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses as settings and records hold them: a host's IP address, a colon, a port. */
public final class Addresses {

  private Addresses() {}

  /**
   * Reads an address. Looks up no names, which would stop the thread.
   *
   * @throws IllegalArgumentException if it is no IP address with a port from 0 to 65535
   */
  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("no port in address \"" + address + "\"");
    }
    InetAddress host = NetUtil.createInetAddressFromIpAddressString(address.substring(0, colon));
    if (host == null) {
      throw new IllegalArgumentException("no IP address in \"" + address + "\"");
    }
    return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
  }
}
