/** Costs of control on one daemon, measured. */
export interface ScaleReport {
  readonly members: number;
  readonly policies: number;
  readonly durationMs: number;
  /** Sent plus received, headers of IP, TCP and UDP included. */
  readonly controlBytesPerSecond: number;
  readonly gossipSentBytesPerSecond: number;
  readonly gossipReceivedBytesPerSecond: number;
  readonly rpcBytesPerSecond: number;
  /** Processor time divided by the time that passed. */
  readonly controlCpuRatio: number;
  /** The greater of the two growths below. */
  readonly controlMemoryBytes: number;
  /** Growth of the heap since before the join, after garbage collections. */
  readonly heapGrowthBytes: number;
  /** Growth of the resident memory since before the join, after garbage collections. */
  readonly rssGrowthBytes: number;
  /** The same before the collections: includes garbage of the start that was not yet collected. */
  readonly uncollectedRssGrowthBytes: number;
  /** Policy changes applied during the measurement. */
  readonly policyChanges: number;
  /** From the start of the join until the daemon would admit calls. */
  readonly startUpMs: number;
  readonly startUpBytes: number;
}
