/** Whether this daemon is ready to accept the requests of callers. */
export class ReadyState {
  private hasStopBegun = false;

  constructor(
    private readonly hasConfiguration: () => boolean,
    /** True while the store or a peer supplies daemon records. */
    private readonly receivesDaemonRecords: () => boolean,
  ) {}

  get isReady(): boolean {
    return !this.hasStopBegun && this.hasConfiguration() && this.receivesDaemonRecords();
  }

  get isStopping(): boolean {
    return this.hasStopBegun;
  }

  /** Makes the daemon permanently unready, as it is about to stop. */
  beginStop(): void {
    this.hasStopBegun = true;
  }
}
