package org.chicorylane.internal.runtime;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses addresses of the form {@code IP:PORT}, as settings and stored records hold them. */
public final class Addresses {

  private Addresses() {}

  /**
   * Parses an address. Does not resolve host names, because a lookup would block the thread.
   *
   * @throws IllegalArgumentException if the text is not an IP address with a port from 0 to 65535
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
