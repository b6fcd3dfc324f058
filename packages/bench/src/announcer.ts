import type { AnnounceRequest, TargetStatus } from '@daisyferry/model/local-api';
import { LocalPath } from '@daisyferry/model/local-api';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import { request, type Dispatcher } from 'undici';
import { inBackground } from './in-background';

const RETRY_MS = 200;
const FIRST_INTERVAL_MS = 500;

/** Keeps one stand-in target announced at its daemon, also when the daemon is replaced. */
export class Announcer {
  private announced = false;

  private stopped = false;

  private timer: Timer | undefined;

  constructor(
    private readonly daemonUrl: string,
    private readonly announcement: AnnounceRequest,
    private readonly dispatcher: Dispatcher,
    private readonly scheduler: Scheduler,
  ) {}

  start(): void {
    inBackground(this.beat());
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Tells the daemon that the target is leaving. */
  async leave(): Promise<void> {
    this.stop();
    await this.post(LocalPath.leave, {});
  }

  private async beat(): Promise<void> {
    const status = this.announced
      ? await this.post(LocalPath.heartbeat, {})
      : await this.post(LocalPath.announce, this.announcement);
    // A replaced daemon does not know the target yet.
    this.announced = status !== undefined && status.state !== 'absent';
    if (this.stopped) return;
    const delayMs = this.announced ? (status?.heartbeatIntervalMs ?? FIRST_INTERVAL_MS) : RETRY_MS;
    this.timer = this.scheduler.after(delayMs, () => {
      inBackground(this.beat());
    });
  }

  private async post(path: string, body: object): Promise<TargetStatus | undefined> {
    try {
      const answer = await request(`${this.daemonUrl}${path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        dispatcher: this.dispatcher,
        headersTimeout: 2_000,
      });
      const text = await answer.body.text();
      return answer.statusCode === 200 ? (JSON.parse(text) as TargetStatus) : undefined;
    } catch {
      return undefined;
    }
  }
}
