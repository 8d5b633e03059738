package org.chicorylane.standin.platform;

/** The kinds of calls that the stand-in serves and counts. */
public enum CallKind {
  /** A read of one key or a range of keys. */
  RANGE("/v3/kv/range"),
  /** An unconditional write. */
  PUT("/v3/kv/put"),
  /** A transaction; this includes compare-and-swap. */
  TXN("/v3/kv/txn"),
  /** A deletion of one key or a range of keys. */
  DELETE_RANGE("/v3/kv/deleterange"),
  /** The grant of a lease. */
  LEASE_GRANT("/v3/lease/grant"),
  /** The revocation of a lease. */
  LEASE_REVOKE("/v3/lease/revoke"),
  /** The renewal of a lease. */
  LEASE_KEEPALIVE("/v3/lease/keepalive"),
  /** The start of a watch; a watch counts once, however long it runs. */
  WATCH("/v3/watch"),
  /** A read of the instance list. */
  INSTANCE_LIST("/apis/discovery.k8s.io/v1/namespaces/default/endpointslices/chicorylane");

  private final String path;

  CallKind(String path) {
    this.path = path;
  }

  /** Returns the HTTP path of calls of this kind. */
  String path() {
    return path;
  }
}
