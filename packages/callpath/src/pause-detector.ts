import type { Scheduler, Timer } from '@daisyferry/model/scheduler';

const TICK_MS = 50;
/** Delay of a tick from which on it counts as a pause of the process. */
const MIN_PAUSE_MS = 250;
/** Time after a pause during which requests that arrived in the pause may still be read. */
const BACKLOG_MS = 500;

/**
 * Detects pauses of the process. A request that is read right after a pause may have waited in the
 * socket for the whole pause, so its remaining budget is outdated.
 */
export class PauseDetector {
  private lastTickMs: number;

  private pauseMs = 0;

  private pauseEndedMs = Number.NEGATIVE_INFINITY;

  private timer: Timer | undefined;

  constructor(private readonly scheduler: Scheduler) {
    this.lastTickMs = scheduler.nowMs();
  }

  start(): void {
    this.timer = this.scheduler.after(TICK_MS, () => {
      this.tick(this.scheduler.nowMs());
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Maximum time that a request read now may have waited in the socket. */
  unreadMs(nowMs: number): number {
    const lateMs = nowMs - this.lastTickMs - TICK_MS;
    if (lateMs >= MIN_PAUSE_MS) return lateMs;
    return nowMs - this.pauseEndedMs <= BACKLOG_MS ? this.pauseMs : 0;
  }

  private tick(nowMs: number): void {
    const lateMs = nowMs - this.lastTickMs - TICK_MS;
    this.lastTickMs = nowMs;
    if (lateMs < MIN_PAUSE_MS) return;
    this.pauseMs = lateMs;
    this.pauseEndedMs = nowMs;
  }
}
