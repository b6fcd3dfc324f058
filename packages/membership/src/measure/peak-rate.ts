const WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;

/** Maximum mean rate over a sliding window of 10 s. */
export class PeakRate {
  private readonly entries: { readonly atMs: number; readonly bytes: number }[] = [];

  private sumBytes = 0;

  peakPerSecond = 0;

  add(bytes: number, nowMs: number): void {
    this.entries.push({ atMs: nowMs, bytes });
    this.sumBytes += bytes;
    for (
      let [first] = this.entries;
      first && first.atMs < nowMs - WINDOW_MS;
      [first] = this.entries
    ) {
      this.sumBytes -= first.bytes;
      this.entries.shift();
    }
    this.peakPerSecond = Math.max(this.peakPerSecond, (this.sumBytes * MS_PER_SECOND) / WINDOW_MS);
  }
}
