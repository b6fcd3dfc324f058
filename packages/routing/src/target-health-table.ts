import type { Member, MemberDirectory } from '@daisyferry/model/member';
import { TargetHealth } from './target-health';

/** State of one target as observed by this daemon. */
export interface TargetSnapshot {
  readonly name: string;
  readonly inFlight: number;
  readonly load: number;
  readonly consecutiveFailures: number;
  /** Remaining time for which the target is avoided; 0 when it is not. */
  readonly avoidedForMs: number;
}

interface TargetEntry {
  readonly incarnation: string;
  readonly health: TargetHealth;
}

/** Health of the targets that this daemon has called, each for its current incarnation only. */
export class TargetHealthTable {
  private readonly targets = new Map<string, TargetEntry>();

  constructor(private readonly directory: MemberDirectory) {}

  /** Health of a target, if this incarnation of its daemon has been called. */
  find({ id }: Member): TargetHealth | undefined {
    const entry = this.targets.get(id.name);
    return entry?.incarnation === id.incarnation ? entry.health : undefined;
  }

  /** Health of a target for updates; starts empty for a new incarnation. */
  findOrCreate(name: string): TargetHealth {
    const incarnation = this.directory.memberNamed(name)?.member.id.incarnation;
    const entry = this.targets.get(name);
    if (entry !== undefined && (incarnation ?? entry.incarnation) === entry.incarnation) {
      return entry.health;
    }
    const health = new TargetHealth();
    this.targets.set(name, { incarnation: incarnation ?? '', health });
    return health;
  }

  /** Drops targets that are no longer members. */
  dropDeparted(): void {
    for (const [name, { health }] of this.targets) {
      if (health.inFlight > 0) continue;
      if (this.directory.memberNamed(name) === undefined) this.targets.delete(name);
    }
  }

  snapshot(nowMs: number): readonly TargetSnapshot[] {
    return [...this.targets].map(([name, { health }]) => ({
      name,
      inFlight: health.inFlight,
      load: health.loadAt(nowMs),
      consecutiveFailures: health.consecutiveFailures,
      avoidedForMs:
        health.consecutiveFailures === 0 ? 0 : Math.max(0, health.avoidedUntilMs - nowMs),
    }));
  }
}
