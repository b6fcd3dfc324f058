import type { GossipTuning } from './gossip-options';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';

/** Share of all members from which on suspects are held rather than declared dead. */
const HOLD_SHARE = 0.1;

/** Share of one data centre from which on its suspects are held. */
const HOLD_DATA_CENTRE_SHARE = 1 / 3;

/** Deaths count among the missing for so long, so that a loss is seen whole. */
const RECENT_DEATH_MS = 60_000;

/** So few suspects are never held. */
const MIN_HELD_SUSPECTS = 3;

/**
 * Decides when a suspect is dead. Many suspects at once are more likely cut off than gone: they
 * are held as suspects, which routing still tries, and die only after a long time.
 */
export class SuspicionRules {
  private deathsAtMs: number[] = [];

  constructor(
    private readonly table: MemberTable,
    private readonly tuning: GossipTuning,
  ) {}

  /** Time that a suspect has to contradict. */
  timeoutMs(): number {
    const { suspicionBaseMs, suspicionPerMemberMs } = this.tuning;
    return suspicionBaseMs + suspicionPerMemberMs * this.table.liveCount;
  }

  /** Counts a death that the member did not declare itself. */
  noteDeath(nowMs: number): void {
    this.deathsAtMs.push(nowMs);
  }

  /** True while the suspects of a data centre are held. */
  isHeld(dataCentre: string, nowMs: number): boolean {
    this.deathsAtMs = this.deathsAtMs.filter((atMs) => atMs > nowMs - RECENT_DEATH_MS);
    const missing = this.table.suspects().size + this.deathsAtMs.length;
    const known = this.table.liveCount + this.deathsAtMs.length;
    if (missing > Math.max(MIN_HELD_SUSPECTS, HOLD_SHARE * known)) return true;
    const group = this.table.dataCentreCounts(dataCentre);
    return group.suspects > Math.max(MIN_HELD_SUSPECTS, HOLD_DATA_CENTRE_SHARE * group.members);
  }

  /** True when a suspect of this age is dead. */
  isExpired(record: MemberRecord, nowMs: number): boolean {
    const ageMs = nowMs - record.changedAtMs;
    if (ageMs < this.timeoutMs()) return false;
    return !this.isHeld(record.member.dataCentre, nowMs) || ageMs >= this.tuning.maxHoldMs;
  }
}
