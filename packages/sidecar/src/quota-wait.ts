import type { QuotaTicket, QuotaVerdict } from '@daisyferry/accounts/quota-gate';
import type { CallerRequestInput } from './caller-request';
import { DaemonResponseReason, type DaemonResponseReasonName } from './daemon-response';
import type { SidecarEntryParts } from './entry';

/** Response to a request that got no part of its account's quota. */
export interface QuotaRefusal {
  readonly reason: DaemonResponseReasonName;
  readonly roomInMs: number;
  readonly detail: string;
  /** Further fields of the log line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface QuotaOutcomes {
  admit(nowMs: number): void;
  refuse(refusal: QuotaRefusal, nowMs: number): void;
}

/** Time that a request needs after it got its part of the quota. */
const MIN_REMAINING_MS = 5;
/** Maximum part by which the time to come back is extended. */
const MAX_JITTER = 0.25;

/** Whether the request belongs to an account with a quota. */
export function isLimited(
  { account }: Pick<CallerRequestInput, 'account'>,
  { quotas }: Pick<SidecarEntryParts, 'quotas'>,
): boolean {
  return quotas !== undefined && account?.ratePerS !== undefined;
}

/** One request's use of its account's quota, which it may have to wait for. */
export class QuotaWait {
  private ticket: QuotaTicket | undefined;

  private isCancelled = false;

  constructor(
    private readonly input: CallerRequestInput,
    private readonly parts: SidecarEntryParts,
    private readonly outcomes: QuotaOutcomes,
  ) {}

  start(nowMs: number): void {
    const { account, routeDeadlineMs, callerDeadlineMs } = this.input;
    const { quotas, clock } = this.parts;
    if (account === undefined || quotas === undefined) return;
    const latestMs = Math.min(routeDeadlineMs, callerDeadlineMs) - MIN_REMAINING_MS;
    const decision = quotas.request(account, latestMs, nowMs, (verdict) => {
      this.ticket = undefined;
      if (!this.isCancelled) this.apply(verdict, clock());
    });
    if (decision.kind === 'waiting') this.ticket = decision;
    else this.apply(decision, nowMs);
  }

  /** Gives up the place; the request has ended. */
  cancel(): void {
    this.isCancelled = true;
    this.ticket?.cancel();
  }

  private apply(verdict: QuotaVerdict, nowMs: number): void {
    if (verdict.kind === 'admitted') {
      this.outcomes.admit(nowMs);
      return;
    }
    const { account } = this.input;
    const { overQuota, quotaUnanswered } = DaemonResponseReason;
    const reason = verdict.kind === 'refused' ? overQuota : quotaUnanswered;
    const { detail } = verdict;
    // Callers that were refused together are not to come back together, nor before there is room.
    const roomInMs = verdict.roomInMs * (1 + MAX_JITTER * this.parts.random());
    const fields = {
      account: account?.name,
      ratePerS: account?.ratePerS,
      burst: account?.burst,
      ...(account && this.parts.quotas?.describe(account.name, nowMs)),
    };
    this.outcomes.refuse({ reason, roomInMs, detail, fields }, nowMs);
  }
}
