/** Whether this daemon is ready for requests of callers. */
export class ReadyState {
  private stopping = false;

  constructor(
    private readonly hasConfiguration: () => boolean,
    private readonly hasMembership: () => boolean,
  ) {}

  get isReady(): boolean {
    return !this.stopping && this.hasConfiguration() && this.hasMembership();
  }

  get isStopping(): boolean {
    return this.stopping;
  }

  /** Makes the daemon unready for good, as it is about to stop. */
  beginStop(): void {
    this.stopping = true;
  }
}
