import { expect } from 'vitest';
import type { Claim } from '../src/claim';

/** Hand-overs and claims of one ticket, with the at-most-once rules as assertions. */
export class TicketHistory {
  handOvers = 0;

  reportedNotRun = false;

  shedByTarget = false;

  /** Unless the target shed the call, a hand-over means that the call may have run. */
  recordClaim(claim: Claim): void {
    if (claim.kind !== 'refused') return;
    expect(this.handOvers === 0 || this.shedByTarget).toBe(true);
    this.reportedNotRun = true;
  }

  recordHandOver(): void {
    expect(this.reportedNotRun).toBe(false);
    this.handOvers += 1;
    expect(this.handOvers).toBe(1);
  }
}
