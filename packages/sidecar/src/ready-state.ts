/** Whether this daemon is ready for requests of callers. */
export class ReadyState {
  private stopping = false;

  constructor(
    private readonly hasConfiguration: () => boolean,
    private readonly knowsDaemons: () => boolean,
  ) {}

  get isReady(): boolean {
    return !this.stopping && this.hasConfiguration() && this.knowsDaemons();
  }

  get isStopping(): boolean {
    return this.stopping;
  }

  /** Makes the daemon unready for good, as it is about to stop. */
  beginStop(): void {
    this.stopping = true;
  }
}
