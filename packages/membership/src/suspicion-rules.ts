import type { GossipTuning } from './gossip-options';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';

/** Share of all members from which on suspects are held rather than declared dead. */
const HOLD_SHARE = 0.1;

/** Share of one data centre from which on its suspects are held. */
const HOLD_DATA_CENTRE_SHARE = 1 / 3;

/** So few suspects are never held. */
const MIN_HELD_SUSPECTS = 3;

/**
 * Decides when a suspect is dead. Many suspects at once are more likely cut off than gone: they
 * are held as suspects, which routing still tries, and die only after a long time.
 */
export class SuspicionRules {
  constructor(
    private readonly table: MemberTable,
    private readonly tuning: GossipTuning,
  ) {}

  /** Time that a suspect has to contradict. */
  timeoutMs(): number {
    const { suspicionBaseMs, suspicionPerMemberMs } = this.tuning;
    return suspicionBaseMs + suspicionPerMemberMs * this.table.liveCount;
  }

  /** True while the suspects of a data centre are held. */
  isHeld(dataCentre: string): boolean {
    const suspects = this.table.suspects().size;
    if (suspects > Math.max(MIN_HELD_SUSPECTS, HOLD_SHARE * this.table.liveCount)) return true;
    const group = this.table.groupOf(dataCentre);
    return group.suspects > Math.max(MIN_HELD_SUSPECTS, HOLD_DATA_CENTRE_SHARE * group.members);
  }

  /** True when a suspect of this age is dead. */
  isExpired(record: MemberRecord, nowMs: number): boolean {
    const ageMs = nowMs - record.changedAtMs;
    if (ageMs < this.timeoutMs()) return false;
    return !this.isHeld(record.member.dataCentre) || ageMs >= this.tuning.maxHoldMs;
  }
}
