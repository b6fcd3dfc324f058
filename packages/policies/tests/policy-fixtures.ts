import type { MethodRule, PolicyRecord, ServicePolicy } from '@daisyferry/model/policy';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { MemoryStore } from '@daisyferry/store/memory-store';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { PolicyChanges } from '../src/policy-changes';
import { MemoryPolicyReplica } from '../src/memory-policy-replica';
import { PolicyStore } from '../src/policy-store';

export const STORE_TIMEOUT_MS = 1_000;

export function methodRule(change: Partial<MethodRule> = {}): MethodRule {
  return {
    name: 'rates',
    httpMethod: 'GET',
    pathPrefix: '/rates',
    class: 'interactive',
    idempotent: true,
    defaultDeadlineMs: 1_500,
    maxDeadlineMs: 10_000,
    ...change,
  };
}

export function servicePolicy(change: Partial<ServicePolicy> = {}): ServicePolicy {
  return {
    service: 'teller',
    methods: [methodRule()],
    retries: { tokensPerRoot: 3, maxShare: 0.1 },
    drain: { noNewWorkAfterMs: 2_000, maxWaitMs: 30_000, maxLeavingShare: 0.34 },
    limits: { queueDelayTargetMs: 20, maxQueueMs: 300, warmUpMs: 3_000 },
    tickets: { lifetimeMs: 60_000, maxAnswerBytes: 65_536 },
    ...change,
  };
}

export function policyRecord(
  revision: number,
  service: string,
  document = servicePolicy({ service }),
) {
  const result: PolicyRecord = {
    revision,
    service,
    operationId: `operation-${revision}`,
    author: 'ana',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    policy: document,
  };
  return result;
}

/** The policy components of one daemon, with independent store faults. */
export class TestDaemon {
  readonly store: MemoryStore;

  readonly policyStore: PolicyStore;

  readonly replica = new MemoryPolicyReplica();

  readonly changes: PolicyChanges;

  constructor(
    readonly scheduler: VirtualScheduler,
    engine = new StoreEngine(),
    random = () => 0.5,
  ) {
    this.store = new MemoryStore(scheduler, engine);
    this.policyStore = new PolicyStore(this.store, 'dorado', STORE_TIMEOUT_MS);
    this.changes = new PolicyChanges({
      store: this.store,
      policyStore: this.policyStore,
      scheduler,
      random,
      appliedRevision: () => this.replica.revision,
    });
  }

  propose(operationId: string, expectedRevision: number, document: unknown = servicePolicy()) {
    const proposal = { document, operationId, expectedRevision, author: 'ana', dryRun: false };
    return this.scheduler.advanceUntilSettled(this.changes.propose(proposal));
  }
}
