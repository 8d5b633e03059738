package org.chicorylane.internal.settings;

import java.net.URI;
import java.util.List;

/**
 * The endpoints of the platform services.
 *
 * @param keyValue the endpoints of the key-value service, tried in turn
 * @param instanceList the endpoints of the instance list, tried in turn
 */
public record PlatformEndpoints(List<URI> keyValue, List<URI> instanceList) {

  /** Copies the lists. */
  public PlatformEndpoints {
    keyValue = List.copyOf(keyValue);
    instanceList = List.copyOf(instanceList);
  }
}
