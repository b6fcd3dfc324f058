import { expect } from 'vitest';
import type { Claim } from '../src/claim';

/** What was done and told about one ticket, in order. */
export class TicketAccount {
  handOvers = 0;

  toldNotRun = false;

  shedByTarget = false;

  /** A hand-over that the target did not disown means that the call may have run. */
  told(claim: Claim): void {
    if (claim.kind !== 'refused') return;
    expect(this.handOvers === 0 || this.shedByTarget).toBe(true);
    this.toldNotRun = true;
  }

  handedOver(): void {
    expect(this.toldNotRun).toBe(false);
    this.handOvers += 1;
    expect(this.handOvers).toBe(1);
  }
}
