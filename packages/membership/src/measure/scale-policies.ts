import type { PolicyDelta, PolicyRecord, ServicePolicy } from '@daisyferry/model/policy';

const METHODS = 12;
const ACCEPTED_AT = '2026-01-01T00:00:00.000Z';

/** A policy document of about 2 KB. */
function samplePolicy(service: string): ServicePolicy {
  return {
    service,
    methods: Array.from({ length: METHODS }, (_, number) => ({
      name: `method-${number}`,
      httpMethod: number % 2 === 0 ? ('GET' as const) : ('POST' as const),
      pathPrefix: `/resources/of/kind-${number}`,
      class: number % 2 === 0 ? ('interactive' as const) : ('money' as const),
      idempotent: number % 2 === 0,
      defaultDeadlineMs: 2_000,
      maxDeadlineMs: 10_000,
    })),
    retries: { tokensPerRoot: 3, maxShare: 0.1 },
    drain: { noNewWorkAfterMs: 2_000, maxWaitMs: 30_000, maxLeavingShare: 0.5 },
    limits: { queueDelayTargetMs: 20, maxQueueMs: 500, warmUpMs: 10_000 },
    tickets: { lifetimeMs: 60_000, maxAnswerBytes: 4_096 },
  };
}

/** The policies of the whole fleet, with simulated changes. */
export class ScalePolicies {
  revision = 0;

  private readonly records = new Map<string, PolicyRecord>();

  constructor(count: number) {
    for (let number = 0; number < count; number += 1) this.change(number);
  }

  /** Changes the policy of the service with this number. */
  change(number: number): void {
    this.revision += 1;
    const service = `service-${String(number).padStart(3, '0')}`;
    this.records.set(service, {
      revision: this.revision,
      service,
      operationId: `operation-${this.revision}`,
      author: 'measure',
      acceptedAt: ACCEPTED_AT,
      policy: samplePolicy(service),
    });
  }

  deltaSince(fromRevision: number): PolicyDelta {
    const records = [...this.records.values()].filter(({ revision }) => revision > fromRevision);
    return { fromRevision, toRevision: this.revision, records };
  }
}
