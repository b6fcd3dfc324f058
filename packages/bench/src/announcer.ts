import type { AnnounceRequest, TargetStatus } from '@daisyferry/model/local-api';
import { LocalPath } from '@daisyferry/model/local-api';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import { request, type Dispatcher } from 'undici';
import { inBackground } from './in-background';

const RETRY_INTERVAL_MS = 200;
const DEFAULT_HEARTBEAT_INTERVAL_MS = 500;

/**
 * Announces a stand-in target to its daemon and sends heartbeats, also after the daemon restarts.
 */
export class Announcer {
  private isAnnounced = false;

  private isStopped = false;

  private timer: Timer | undefined;

  constructor(
    private readonly daemonUrl: string,
    private readonly announcement: AnnounceRequest,
    private readonly dispatcher: Dispatcher,
    private readonly scheduler: Scheduler,
  ) {}

  start(): void {
    inBackground(this.announceOrHeartbeat());
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  async deregister(): Promise<void> {
    this.stop();
    await this.postToDaemon(LocalPath.leave, {});
  }

  private async announceOrHeartbeat(): Promise<void> {
    const status = this.isAnnounced
      ? await this.postToDaemon(LocalPath.heartbeat, {})
      : await this.postToDaemon(LocalPath.announce, this.announcement);
    // A restarted daemon has no record of the target, which is then announced again.
    this.isAnnounced = status !== undefined && status.state !== 'absent';
    if (this.isStopped) return;
    const delayMs = this.isAnnounced
      ? (status?.heartbeatIntervalMs ?? DEFAULT_HEARTBEAT_INTERVAL_MS)
      : RETRY_INTERVAL_MS;
    this.timer = this.scheduler.after(delayMs, () => {
      inBackground(this.announceOrHeartbeat());
    });
  }

  private async postToDaemon(path: string, body: object): Promise<TargetStatus | undefined> {
    try {
      const response = await request(`${this.daemonUrl}${path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        dispatcher: this.dispatcher,
        headersTimeout: 2_000,
      });
      const text = await response.body.text();
      return response.statusCode === 200 ? (JSON.parse(text) as TargetStatus) : undefined;
    } catch {
      return undefined;
    }
  }
}
