/** Time for which a level applies after the last call to its service. */
const LEVEL_VALIDITY_MS = 1_000;

interface RecordedLevel {
  readonly level: number;
  readonly atMs: number;
}

/**
 * Shed levels of the services that the local target calls. Requests that depend on these services
 * are best shed before they reach the local target.
 */
export class DownstreamShedLevels {
  private readonly services = new Map<string, RecordedLevel>();

  recordLevel(service: string, level: number, nowMs: number): void {
    this.services.set(service, { level, atMs: nowMs });
  }

  /** Updates a level reported outside of a call, unless the service was not called recently. */
  refreshLevel(service: string, level: number, nowMs: number): void {
    const recorded = this.services.get(service);
    if (recorded === undefined || nowMs - recorded.atMs >= LEVEL_VALIDITY_MS) return;
    this.services.set(service, { level, atMs: recorded.atMs });
  }

  maxLevel(nowMs: number): number {
    let greatest = 0;
    for (const { level, atMs } of this.services.values()) {
      if (nowMs - atMs < LEVEL_VALIDITY_MS) greatest = Math.max(greatest, level);
    }
    return greatest;
  }
}
