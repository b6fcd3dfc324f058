/** Time for which a level that a called service told counts, in ms. */
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

  value(nowMs: number): number {
    let greatest = 0;
    for (const { level, atMs } of this.services.values()) {
      if (nowMs - atMs < KEEP_MS) greatest = Math.max(greatest, level);
    }
    return greatest;
  }
}
