export interface SocketAddress {
  readonly ip: string;
  readonly port: number;
}

/** The environment of one daemon, from its settings: its identity, addresses and limits. */
export interface DaemonEnvironment {
  readonly daemonId: string;
  /** Data centre of the daemon and its target. */
  readonly zone: string;
  /** Service of the local target; calls from this instance are attributed to it. */
  readonly service: string;
  readonly targetAddress: SocketAddress;
  /** Memory above which the process is killed. */
  readonly memoryLimitBytes: number;
  /** File descriptors that the process may open. */
  readonly descriptorLimit: number;
  /** Connections of callers that are kept open; undefined for a share of the descriptors. */
  readonly maxCallerConnections?: number | undefined;
  readonly listen: {
    /** For callers on this instance, including the local target. */
    readonly callers: SocketAddress;
    /** For other daemons. */
    readonly peers: SocketAddress;
    /** For the platform's readiness probe. */
    readonly readiness: SocketAddress;
    /** On which the local target announces its state. */
    readonly announcements: SocketAddress;
  };
  /** Under which other daemons reach this one; undefined for the address on which it listens. */
  readonly peerAddress?: SocketAddress | undefined;
  readonly store: {
    readonly address: SocketAddress;
    /** Shortest lease that the store grants. */
    readonly minLeaseMs: number;
  };
  /** True to refuse root requests whose calls below cannot all be finished; see `TreeAdmission`. */
  readonly admitsByCallTree?: boolean | undefined;
  /** Limits of the graceful stop and of retries. */
  readonly bounds: {
    /** Time between SIGTERM and SIGKILL. */
    readonly graceMs: number;
    /** Maximum retries for a service, as a share of its requests. */
    readonly retryRatio: number;
    /**
     * Retries for a service that all daemons together may make beyond that share within ten
     * seconds. Each daemon may make a part of them: the burst of its `RetryBudget`.
     */
    readonly retrySlack: number;
    /** Time after the acknowledgement of a configuration within which it has to be in force. */
    readonly applyMs: number;
    /**
     * Time after the acknowledgement of a configuration that took a key of a client account away, from
     * which no request that is sent with it may run; undefined if that is not bound.
     */
    readonly withdrawalMs?: number | undefined;
    /**
     * Length of the windows in each of which an account may use its rate and its burst; undefined if
     * that is not bound.
     */
    readonly quotaWindowMs?: number | undefined;
  };
}
