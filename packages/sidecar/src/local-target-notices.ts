import type { HeaderFields } from '@daisyferry/http1/message';
import type { TargetNotice } from '@daisyferry/mesh/target-notice';
import type { EventLog } from './event-log';
import { readTargetNotice, type NoticeFieldNames } from './read-target-notice';

const NO_NOTICE: TargetNotice = { ratePerS: undefined, isLeaving: false };

/** What the present incarnation of the local target states in its answers. */
export class LocalTargetNotices {
  private current: TargetNotice | undefined;

  constructor(
    private readonly fieldNames: NoticeFieldNames,
    private readonly log: Pick<EventLog, 'stateChange' | 'decision'>,
  ) {}

  /** Undefined until the target has answered this process. */
  get notice(): TargetNotice | undefined {
    return this.current;
  }

  /** Records what an answer states and returns it; a departure is not taken back. */
  record(fields: HeaderFields, targetId: string): TargetNotice {
    const previous = this.current ?? NO_NOTICE;
    const { notice, unreadableRate } = readTargetNotice(fields, this.fieldNames, this.current);
    this.current = notice;
    if (unreadableRate !== undefined) {
      this.log.decision('rate limit stated by the target is unreadable', { targetId });
    }
    if (notice.ratePerS !== previous.ratePerS) {
      const { ratePerS } = notice;
      this.log.stateChange('rate limit stated by the target changed', {
        targetId,
        ratePerS,
        previousRatePerS: previous.ratePerS,
      });
    }
    if (notice.isLeaving && !previous.isLeaving) {
      this.log.stateChange('target states that it leaves', { targetId });
    }
    return notice;
  }

  /** Forgets everything, as another target has taken the place of the one that stated it. */
  reset(): void {
    this.current = undefined;
  }
}
