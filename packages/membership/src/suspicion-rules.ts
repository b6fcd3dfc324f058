import type { GossipTuning } from './gossip-options';
import type { MemberRecord } from './member-record';
import type { MemberTable } from './member-table';

/** Share of all members above which suspects are held, that is, not declared dead. */
const HOLD_SHARE = 0.1;

/** Share of a data centre's members above which its suspects are held. */
const HOLD_DATA_CENTRE_SHARE = 1 / 3;

/** Recent deaths count as missing for this long, so that a mass failure is recognized as one. */
const RECENT_DEATH_MS = 60_000;

/** Up to this number of suspects, none is held. */
const MIN_HELD_SUSPECTS = 3;

/**
 * Decides when a suspect is declared dead. Many simultaneous suspects indicate a network partition
 * rather than failures: they are held as suspects, which routing still tries, and are declared dead
 * only after a long time.
 */
export class SuspicionRules {
  private deathsAtMs: number[] = [];

  constructor(
    private readonly table: MemberTable,
    private readonly tuning: GossipTuning,
  ) {}

  /** Time that a suspect has to refute the suspicion. */
  suspicionTimeoutMs(): number {
    const { suspicionBaseMs, suspicionPerMemberMs } = this.tuning;
    return suspicionBaseMs + suspicionPerMemberMs * this.table.liveCount;
  }

  /** Records a death that the member did not announce itself. */
  recordDeath(nowMs: number): void {
    this.deathsAtMs.push(nowMs);
  }

  /** True while the suspects of a data centre are held. */
  isHeld(dataCentre: string, nowMs: number): boolean {
    this.deathsAtMs = this.deathsAtMs.filter((atMs) => atMs > nowMs - RECENT_DEATH_MS);
    const missingCount = this.table.suspects().size + this.deathsAtMs.length;
    const knownCount = this.table.liveCount + this.deathsAtMs.length;
    if (missingCount > Math.max(MIN_HELD_SUSPECTS, HOLD_SHARE * knownCount)) return true;
    const counts = this.table.dataCentreCounts(dataCentre);
    return counts.suspects > Math.max(MIN_HELD_SUSPECTS, HOLD_DATA_CENTRE_SHARE * counts.members);
  }

  /** True if a suspect's time to refute is over and it is not held. */
  isExpired(record: MemberRecord, nowMs: number): boolean {
    const ageMs = nowMs - record.changedAtMs;
    if (ageMs < this.suspicionTimeoutMs()) return false;
    return !this.isHeld(record.member.dataCentre, nowMs) || ageMs >= this.tuning.maxHoldMs;
  }
}
