import { RecordSlice } from './record-slice';

/** Settled calls by the time at which their tickets expire. */
export class RecordSlices {
  private readonly slices = new Map<number, RecordSlice>();

  /** @param sliceMs Length of a slice; records are kept up to this much past their expiry. */
  constructor(private readonly sliceMs: number) {}

  /** The slice of an expiry time, if any ticket of it was ever seen. */
  find(expiresAtMs: number): RecordSlice | undefined {
    return this.slices.get(this.indexOf(expiresAtMs));
  }

  /** The slice of an expiry time, made when absent. */
  open(expiresAtMs: number): RecordSlice {
    const index = this.indexOf(expiresAtMs);
    const present = this.slices.get(index);
    if (present !== undefined) return present;
    const slice = new RecordSlice();
    this.slices.set(index, slice);
    return slice;
  }

  all(): Iterable<RecordSlice> {
    return this.slices.values();
  }

  /** Removes the slices that ended, and returns them. */
  dropEnded(nowMs: number): RecordSlice[] {
    const ended: RecordSlice[] = [];
    for (const [index, slice] of this.slices) {
      if ((index + 1) * this.sliceMs > nowMs) continue;
      this.slices.delete(index);
      ended.push(slice);
    }
    return ended;
  }

  /** The slice that expires first among those that hold answers. */
  oldestWithAnswers(): RecordSlice | undefined {
    let oldest = Number.POSITIVE_INFINITY;
    for (const [index, slice] of this.slices) {
      if (slice.answersHeld > 0) oldest = Math.min(oldest, index);
    }
    return this.slices.get(oldest);
  }

  private indexOf(expiresAtMs: number): number {
    return Math.floor(expiresAtMs / this.sliceMs);
  }
}
