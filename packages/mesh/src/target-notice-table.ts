import type { TargetIncarnation, TargetNotice } from './target-notice';

interface RecordedNotice {
  readonly bornUnixMs: number | undefined;
  readonly notice: TargetNotice;
}

/** Maximum number of targets whose notices are remembered. */
const MAX_TARGETS = 4_096;

function isSameIncarnation(recorded: RecordedNotice, { bornUnixMs }: TargetIncarnation): boolean {
  return (
    recorded.bornUnixMs === undefined ||
    bornUnixMs === undefined ||
    recorded.bornUnixMs === bornUnixMs
  );
}

/**
 * What this entry was told by the targets that it sent requests to. It is kept by target, and not
 * by daemon: a target's daemon may restart and know nothing of what the target has stated.
 */
export class TargetNoticeTable {
  private readonly notices = new Map<string, RecordedNotice>();

  /** True if no target has stated anything that is still in force. */
  get isEmpty(): boolean {
    return this.notices.size === 0;
  }

  /** Records what the target's last answer stated. A departure is final for the incarnation. */
  record(target: TargetIncarnation, notice: TargetNotice): void {
    const { targetId, bornUnixMs } = target;
    const isLeaving = notice.isLeaving || this.isLeaving(target);
    this.notices.delete(targetId);
    if (notice.ratePerS === undefined && !isLeaving) return;
    this.notices.set(targetId, { bornUnixMs, notice: { ...notice, isLeaving } });
    if (this.notices.size <= MAX_TARGETS) return;
    const [oldest] = this.notices.keys();
    if (oldest !== undefined) this.notices.delete(oldest);
  }

  /** Records a departure of which the target's daemon has informed this one. */
  markLeaving(target: TargetIncarnation): void {
    this.record(target, { ratePerS: this.ratePerS(target), isLeaving: true });
  }

  /** Takes back a departure, as the target's daemon states that the target has refuted it. */
  markReturned(target: TargetIncarnation): void {
    if (!this.isLeaving(target)) return;
    const ratePerS = this.ratePerS(target);
    this.notices.delete(target.targetId);
    this.record(target, { ratePerS, isLeaving: false });
  }

  isLeaving(target: TargetIncarnation): boolean {
    return this.find(target)?.isLeaving === true;
  }

  /** Rate that the target stated last; undefined without a limit. */
  ratePerS(target: TargetIncarnation): number | undefined {
    return this.find(target)?.ratePerS;
  }

  private find(target: TargetIncarnation): TargetNotice | undefined {
    const recorded = this.notices.get(target.targetId);
    return recorded !== undefined && isSameIncarnation(recorded, target)
      ? recorded.notice
      : undefined;
  }
}
