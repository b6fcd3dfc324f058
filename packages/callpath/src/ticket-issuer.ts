import { mintTicket } from '@daisyferry/execution/ticket';
import type { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { DaemonId } from '@daisyferry/model/member';
import type { TicketsRequest, TicketsResponse } from '@daisyferry/model/local-api';
import type { Refusal } from '@daisyferry/model/outcome';
import { RefusalReason } from '@daisyferry/model/outcome';
import type { ServicePolicy } from '@daisyferry/model/policy';
import type { PolicyTable } from '@daisyferry/model/policy-table';
import type { Scheduler } from '@daisyferry/model/scheduler';
import { matchMethod } from '@daisyferry/policies/method-matcher';
import type { TargetPicker } from '@daisyferry/routing/target-picker';
import { refusal } from './results';

export interface TicketIssuerParts {
  readonly policies: PolicyTable;
  readonly picker: TargetPicker;
  readonly codec: TicketCodec;
  readonly scheduler: Scheduler;
  readonly newId: () => string;
  /** This daemon; keeps the retry tokens of the idempotent roots for which it issues tickets. */
  readonly self: DaemonId;
}

/** Retry delay when no tickets can be issued. */
const RETRY_LATER_MS = 1_000;
const NO_HOMES_EXCLUDED: ReadonlySet<string> = new Set();

/** Issues tickets; no state is kept for a ticket until it is used. */
export class TicketIssuer {
  constructor(private readonly parts: TicketIssuerParts) {}

  /** Issues one encoded ticket for a home picked by load; undefined while no home is known. */
  issue(service: string, policy: ServicePolicy): string | undefined {
    const { picker, codec, scheduler, newId } = this.parts;
    const nowMs = scheduler.nowMs();
    const home = picker.pick(service, NO_HOMES_EXCLUDED, nowMs, { mayProbe: false });
    if (home === undefined) return undefined;
    return codec.encode(mintTicket(home.id, policy.tickets.lifetimeMs, newId(), nowMs));
  }

  /** Issues one ticket for an idempotent root request, whose retry tokens this daemon keeps. */
  private issueForIdempotentRoot(policy: ServicePolicy): string {
    const { self, codec, scheduler, newId } = this.parts;
    const { lifetimeMs } = policy.tickets;
    return codec.encode(mintTicket(self, lifetimeMs, newId(), scheduler.nowMs()));
  }

  /** Issues the requested number of tickets for one method, before the calls that use them. */
  issueBatch(service: string, request: TicketsRequest): TicketsResponse | Refusal {
    const { policies } = this.parts;
    if (!policies.ready) return refusal(RefusalReason.notReady, RETRY_LATER_MS);
    const policy = policies.policyOf(service)?.policy ?? undefined;
    if (policy === undefined) return refusal(RefusalReason.unknownService, RETRY_LATER_MS);
    const rule = matchMethod(policy, request.method, request.path);
    if (rule === undefined) return refusal(RefusalReason.unknownMethod, RETRY_LATER_MS);
    const tickets: string[] = [];
    for (let index = 0; index < request.count; index += 1) {
      const ticket = rule.idempotent
        ? this.issueForIdempotentRoot(policy)
        : this.issue(service, policy);
      if (ticket === undefined) return refusal(RefusalReason.noTarget, RETRY_LATER_MS);
      tickets.push(ticket);
    }
    return { tickets, expiresInMs: policy.tickets.lifetimeMs };
  }
}
