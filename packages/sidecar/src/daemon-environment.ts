export interface SocketAddress {
  readonly ip: string;
  readonly port: number;
}

/** Where and how one daemon runs. */
export interface DaemonEnvironment {
  readonly daemonId: string;
  readonly zone: string;
  /** Service of the target beside the daemon; callers on this instance call in its name. */
  readonly service: string;
  readonly targetAddress: SocketAddress;
  readonly listen: {
    /** Callers on this instance, the local target among them. */
    readonly callers: SocketAddress;
    /** Other daemons. */
    readonly peers: SocketAddress;
    /** The platform's question whether this daemon takes work. */
    readonly readiness: SocketAddress;
    /** Announcements of the local target. */
    readonly announcements: SocketAddress;
  };
  readonly store: {
    readonly address: SocketAddress;
    /** Least time to live that a lease can have. */
    readonly minLeaseMs: number;
  };
  readonly bounds: {
    /** Time between the request to stop and the kill. */
    readonly graceMs: number;
    /** Retries allowed for a service, as a share of its requests. */
    readonly retryRatio: number;
    /** Retries allowed beyond the share, of all daemons together, in one window. */
    readonly retrySlack: number;
  };
}
