import type { RefusalReasonName } from '@daisyferry/model/outcome';
import type { FinishReport } from './admission-request';

/** Counters of one admission controller since its start. */
export class AdmissionCounters {
  offered = 0;

  admitted = 0;

  readonly finished: Record<FinishReport['kind'], number> = {
    completed: 0,
    failed: 0,
    shedByTarget: 0,
    abandoned: 0,
    notSent: 0,
  };

  readonly refused: Partial<Record<RefusalReasonName, number>> = {};

  countRefused(reason: RefusalReasonName): void {
    this.refused[reason] = (this.refused[reason] ?? 0) + 1;
  }
}
