/** Whether callers should send new work to this daemon. */
export class ReadyState {
  private stopping = false;

  constructor(
    private readonly hasConfiguration: () => boolean,
    private readonly knowsFleet: () => boolean,
  ) {}

  get isReady(): boolean {
    return !this.stopping && this.hasConfiguration() && this.knowsFleet();
  }

  get isStopping(): boolean {
    return this.stopping;
  }

  /** The daemon is about to end. */
  stop(): void {
    this.stopping = true;
  }
}
