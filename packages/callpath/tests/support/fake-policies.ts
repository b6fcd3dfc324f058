import type { PolicyRecord, ServicePolicy } from '@daisyferry/model/policy';
import type { PolicyTable } from '@daisyferry/model/policy-table';

export const SERVICE = 'vault';
export const RETRY_BOUND = 2;
export const DEADLINE_MS = 1_000;
export const TICKET_LIFETIME_MS = 10_000;

const method = { defaultDeadlineMs: DEADLINE_MS, maxDeadlineMs: DEADLINE_MS };

export const POLICY: ServicePolicy = {
  service: SERVICE,
  methods: [
    { ...method, name: 'payout', pathPrefix: '/payouts', class: 'money', idempotent: false },
    { ...method, name: 'rate', pathPrefix: '/rates', class: 'interactive', idempotent: true },
  ],
  retries: { tokensPerRoot: RETRY_BOUND, maxShare: 0.2 },
  drain: { noNewWorkAfterMs: 2_000, maxWaitMs: 30_000, maxLeavingShare: 0.5 },
  limits: { queueDelayTargetMs: 20, maxQueueMs: 200, warmUpMs: 0 },
  tickets: { lifetimeMs: TICKET_LIFETIME_MS, maxAnswerBytes: 4_096 },
};

/** A policy table that a test can change at any time. */
export class FakePolicies implements PolicyTable {
  ready = true;

  private record: PolicyRecord = {
    service: SERVICE,
    revision: 1,
    operationId: 'op-1',
    author: 'test',
    acceptedAt: '2026-01-01T00:00:00Z',
    policy: POLICY,
  };

  get revision(): number {
    return this.record.revision;
  }

  policyOf(service: string): PolicyRecord | undefined {
    return service === SERVICE ? this.record : undefined;
  }

  change(policy: ServicePolicy): void {
    this.record = { ...this.record, revision: this.record.revision + 1, policy };
  }
}
