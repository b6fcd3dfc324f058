import type { EntryProgress } from './entry-call';

/** Attempts of one call. */
export class AttemptCount implements EntryProgress {
  private count = 0;

  get attempts(): number {
    return this.count;
  }

  countAttempt(): void {
    this.count += 1;
  }
}
