/** A bounded number of names that were recorded within a time. */
export class RecentNames {
  private readonly recordedMs = new Map<string, number>();

  constructor(
    private readonly validityMs: number,
    private readonly maxNames: number,
  ) {}

  /** Does nothing if there are too many names. */
  record(name: string, nowMs: number): void {
    if (this.recordedMs.has(name) || this.recordedMs.size < this.maxNames)
      this.recordedMs.set(name, nowMs);
  }

  recent(nowMs: number): readonly string[] {
    for (const [name, atMs] of this.recordedMs)
      if (nowMs - atMs >= this.validityMs) this.recordedMs.delete(name);
    return [...this.recordedMs.keys()];
  }
}
