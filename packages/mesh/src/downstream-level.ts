/** Time for which a level counts after the last call to its service, in ms. */
const KEEP_MS = 1_000;

interface NotedLevel {
  readonly level: number;
  readonly atMs: number;
}

/**
 * Levels of the services that the local target calls. Work that needs them is best turned away
 * before it comes to the local target.
 */
export class DownstreamLevel {
  private readonly services = new Map<string, NotedLevel>();

  note(service: string, level: number, nowMs: number): void {
    this.services.set(service, { level, atMs: nowMs });
  }

  /** Takes a level that was told without a call; counts only for services called lately. */
  refresh(service: string, level: number, nowMs: number): void {
    const noted = this.services.get(service);
    if (noted === undefined || nowMs - noted.atMs >= KEEP_MS) return;
    this.services.set(service, { level, atMs: noted.atMs });
  }

  value(nowMs: number): number {
    let greatest = 0;
    for (const { level, atMs } of this.services.values()) {
      if (nowMs - atMs < KEEP_MS) greatest = Math.max(greatest, level);
    }
    return greatest;
  }
}
