import type { EntryProgress } from './entry-call';

/** Counts the attempts of one call. */
export class AttemptCounter implements EntryProgress {
  private count = 0;

  get attempts(): number {
    return this.count;
  }

  countAttempt(): void {
    this.count += 1;
  }
}
