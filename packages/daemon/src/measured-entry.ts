import type { EntryResponse, EntryPoint, EntryRequest } from '@daisyferry/callpath/entry-call';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonMetrics } from '@daisyferry/telemetry/daemon-metrics';
import { RecentRefusals } from './recent-refusals';

/**
 * Records metrics of the calls at an entry, and keeps the latest refusals and unknown outcomes for
 * `explain`.
 */
export class MeasuredEntry implements EntryPoint {
  /** Calls that were refused or have an unknown outcome. */
  readonly refusals = new RecentRefusals();

  constructor(
    private readonly inner: EntryPoint,
    private readonly metrics: DaemonMetrics,
    private readonly scheduler: Scheduler,
  ) {}

  async handle(request: EntryRequest): Promise<EntryResponse> {
    const startMs = this.scheduler.nowMs();
    const response = await this.inner.handle(request);
    const nowMs = this.scheduler.nowMs();
    const { result, className = 'none', rootId } = response;
    const reason = 'reason' in result ? result.reason : '';
    this.metrics.countCall(className, result.outcome, reason, nowMs - startMs);
    // Refusals and unknown outcomes have a reason; responses of the target have none.
    if (reason !== '') {
      this.refusals.add({
        rootId,
        service: request.service,
        httpMethod: request.content.httpMethod,
        path: request.content.path,
        className,
        outcome: result.outcome,
        reason,
        atMs: nowMs,
      });
    }
    return response;
  }
}
