/** Measured control overhead of one daemon. */
export interface ScaleReport {
  readonly members: number;
  readonly policies: number;
  readonly durationMs: number;
  /** Bytes sent plus received, including IP, TCP and UDP headers. */
  readonly controlBytesPerSecond: number;
  readonly gossipSentBytesPerSecond: number;
  readonly gossipReceivedBytesPerSecond: number;
  readonly rpcBytesPerSecond: number;
  /** CPU time divided by elapsed time. */
  readonly controlCpuRatio: number;
  /** The maximum of `heapGrowthBytes` and `rssGrowthBytes`. */
  readonly controlMemoryBytes: number;
  /** Heap growth since before the join, measured after garbage collection. */
  readonly heapGrowthBytes: number;
  /** Growth of resident memory since before the join, measured after garbage collection. */
  readonly rssGrowthBytes: number;
  /** The same before garbage collection, so it includes garbage from the start-up. */
  readonly uncollectedRssGrowthBytes: number;
  /** Policy changes applied during the measurement. */
  readonly policyChanges: number;
  /** Time from the start of the join until the daemon is ready to admit calls. */
  readonly startUpMs: number;
  readonly startUpBytes: number;
}
