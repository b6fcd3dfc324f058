import type { MethodRule, PolicyRecord, ServicePolicy } from '@daisyferry/model/policy';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { MemoryStore } from '@daisyferry/store/memory-store';
import { StoreEngine } from '@daisyferry/store/store-engine';
import { PolicyChanges } from '../src/policy-changes';
import { MemoryPolicyReplica } from '../src/memory-policy-replica';
import { PolicyStore } from '../src/policy-store';

export const STORE_TIMEOUT_MS = 1_000;

export function rule(change: Partial<MethodRule> = {}): MethodRule {
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

export function policy(change: Partial<ServicePolicy> = {}): ServicePolicy {
  return {
    service: 'teller',
    methods: [rule()],
    retries: { tokensPerRoot: 3, maxShare: 0.1 },
    drain: { noNewWorkAfterMs: 2_000, maxWaitMs: 30_000, maxLeavingShare: 0.34 },
    limits: { queueDelayTargetMs: 20, maxQueueMs: 300, warmUpMs: 3_000 },
    tickets: { lifetimeMs: 60_000, maxAnswerBytes: 65_536 },
    ...change,
  };
}

export function record(revision: number, service: string, document = policy({ service })) {
  const made: PolicyRecord = {
    revision,
    service,
    operationId: `operation-${revision}`,
    author: 'ana',
    acceptedAt: '2026-01-01T00:00:00.000Z',
    policy: document,
  };
  return made;
}

/** One daemon's access to the policies, with store faults of its own. */
export class Site {
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

  propose(operationId: string, expectedRevision: number, document: unknown = policy()) {
    const proposal = { document, operationId, expectedRevision, author: 'ana', dryRun: false };
    return this.scheduler.advanceUntilSettled(this.changes.propose(proposal));
  }
}
