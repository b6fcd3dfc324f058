import type { Member, MemberDirectory } from '@daisyferry/model/member';
import { TargetHealth } from './target-health';

/** State of one target as this daemon sees it. */
export interface TargetSnapshot {
  readonly name: string;
  readonly inFlight: number;
  readonly load: number;
  readonly consecutiveFailures: number;
  /** Remaining time for which the target is avoided; 0 when it is not. */
  readonly avoidedForMs: number;
}

interface KnownTarget {
  readonly incarnation: string;
  readonly health: TargetHealth;
}

/** What one daemon has seen of the targets that it called, each for the present run only. */
export class TargetBook {
  private readonly targets = new Map<string, KnownTarget>();

  constructor(private readonly directory: MemberDirectory) {}

  /** What is known of this run of the target's daemon; nothing of earlier runs. */
  known({ id }: Member): TargetHealth | undefined {
    const known = this.targets.get(id.name);
    return known?.incarnation === id.incarnation ? known.health : undefined;
  }

  /** The health of a target to be written to; begins anew with a new run. */
  healthOf(name: string): TargetHealth {
    const incarnation = this.directory.memberNamed(name)?.member.id.incarnation;
    const known = this.targets.get(name);
    if (known !== undefined && (incarnation ?? known.incarnation) === known.incarnation) {
      return known.health;
    }
    const health = new TargetHealth();
    this.targets.set(name, { incarnation: incarnation ?? '', health });
    return health;
  }

  /** Forgets targets that are no members any more. */
  forgetRemoved(): void {
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
      avoidedForMs: health.consecutiveFailures === 0 ? 0 : Math.max(0, health.avoidedUntil - nowMs),
    }));
  }
}
