import {
  DiscardReason,
  type DiscardedResponse,
  type DiscardedResponseListener,
} from './discarded-response';
import type { EventLog } from './event-log';
import type { SidecarMetrics } from './sidecar-metrics';

/** Limits of what a target's bytes add to a log line. */
const MAX_LOGGED_IDS = 4;
const MAX_LOGGED_ID_LENGTH = 80;

/** Logs and counts what the connections to the target discard. */
export class DiscardedResponseReport implements DiscardedResponseListener {
  constructor(
    private readonly log: Pick<EventLog, 'decision'>,
    private readonly metrics: SidecarMetrics,
  ) {}

  discarded(response: DiscardedResponse): void {
    this.metrics.countDiscardedResponse(response.reason);
    const message =
      response.reason === DiscardReason.noRequest
        ? 'connection to the target closed, as bytes arrived without a request'
        : 'response of the target discarded';
    this.log.decision(message, {
      ...response,
      responseIds: response.responseIds
        .slice(0, MAX_LOGGED_IDS)
        .map((id) => id.slice(0, MAX_LOGGED_ID_LENGTH)),
      waitedMs: Math.round(response.waitedMs),
    });
  }
}
