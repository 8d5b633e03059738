package org.chicorylane.internal.instance;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.chicorylane.internal.caller.CallerLimits;
import org.chicorylane.internal.session.SessionKey;

/**
 * What an instance has to know to start.
 *
 * @param instanceId unique among instances
 * @param availabilityZone the zone that it runs in
 * @param callerAddress where callers reach it; port 0 takes a free one
 * @param relayAddress where other instances reach it over TCP; port 0 takes a free one
 * @param membershipPort where other instances reach it over UDP; 0 takes a free one
 * @param storeEndpoints the platform's key-value service
 * @param instanceListEndpoints the platform's instance list
 * @param sessionKeys the keys of session tokens, the signing one first
 * @param callerLimits what callers may send
 */
public record InstanceOptions(
    String instanceId,
    String availabilityZone,
    InetSocketAddress callerAddress,
    InetSocketAddress relayAddress,
    int membershipPort,
    List<URI> storeEndpoints,
    List<URI> instanceListEndpoints,
    List<SessionKey> sessionKeys,
    CallerLimits callerLimits) {}
