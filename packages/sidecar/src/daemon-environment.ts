export interface SocketAddress {
  readonly ip: string;
  readonly port: number;
}

/** The settings of one daemon: its identity, addresses and limits. */
export interface DaemonEnvironment {
  readonly daemonId: string;
  readonly zone: string;
  /** Service of the local target; calls from this instance are attributed to it. */
  readonly service: string;
  readonly targetAddress: SocketAddress;
  readonly listen: {
    /** For callers on this instance, including the local target. */
    readonly callers: SocketAddress;
    /** For other daemons. */
    readonly peers: SocketAddress;
    /** For the platform's readiness probe. */
    readonly readiness: SocketAddress;
    /** For announcements of the local target. */
    readonly announcements: SocketAddress;
  };
  readonly store: {
    readonly address: SocketAddress;
    /** Shortest lease that the store grants. */
    readonly minLeaseMs: number;
  };
  readonly bounds: {
    /** Time between the request to stop and the kill of the process. */
    readonly graceMs: number;
    /** Maximum retries for a service, as a share of its requests. */
    readonly retryRatio: number;
    /** Retries allowed beyond that share in one window, over all daemons. */
    readonly retrySlack: number;
  };
}
