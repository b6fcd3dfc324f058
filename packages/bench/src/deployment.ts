import type { CallClassName } from '@daisyferry/model/call-class';

export type BenchHttpMethod = 'GET' | 'POST';

/** The call that a method makes while it serves a call. */
export interface NestedCall {
  readonly service: string;
  readonly httpMethod: BenchHttpMethod;
  readonly path: string;
}

/** What a stand-in target does for one method. */
export interface MethodPlan {
  readonly httpMethod: BenchHttpMethod;
  readonly path: string;
  /** Mean of the target's own work, without the nested call. */
  readonly workMeanMs: number;
  readonly nested?: NestedCall;
}

export interface ServicePlan {
  readonly name: string;
  readonly instances: number;
  readonly slots: number;
  readonly connections: number;
  readonly methods: readonly MethodPlan[];
}

/** How long callers of one kind of request wait. */
export interface PatiencePlan {
  /** Mean of the time that a caller waits for one attempt. */
  readonly attemptMeanMs: number;
  readonly attemptMinMs: number;
  /** Spread of the log-normal distribution. */
  readonly sigma: number;
  /** Time after which the caller leaves for good, from the intended start. */
  readonly totalMs: number;
  readonly maxAttempts: number;
}

/** One kind of whole request as callers send it. */
export interface RequestKind {
  readonly name: string;
  readonly class: CallClassName;
  readonly call: NestedCall;
  /** Demand before and after the surge. */
  readonly ratePerSecond: number;
  readonly patience: PatiencePlan;
}

/** One deployment of the users' tables: services, call graph and demand. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly services: readonly ServicePlan[];
  readonly requests: readonly RequestKind[];
  /** The service with the fewest slots, which overload reaches first. */
  readonly slowestService: string;
}

/** The rule of a method, or undefined where the service has none. */
export function methodPlan(deployment: Deployment, call: NestedCall): MethodPlan | undefined {
  const service = deployment.services.find(({ name }) => name === call.service);
  return service?.methods.find(
    ({ httpMethod, path }) => httpMethod === call.httpMethod && path === call.path,
  );
}

/** Speed of the services that are slower or faster than their plan; 0.5 is half speed. */
export type Speeds = Readonly<Record<string, number>>;

const PLANNED_SPEEDS: Speeds = {};

/** Mean time in ms for which a call holds its slot: own work and the nested call. */
export function heldMeanMs(
  deployment: Deployment,
  call: NestedCall,
  speeds: Speeds = PLANNED_SPEEDS,
): number {
  const plan = methodPlan(deployment, call);
  if (plan === undefined) return 0;
  const nestedMs = plan.nested === undefined ? 0 : heldMeanMs(deployment, plan.nested, speeds);
  return plan.workMeanMs / (speeds[call.service] ?? 1) + nestedMs;
}

/** Mean slot time in ms that a whole request spends at a service. */
export function slotMsAt(
  deployment: Deployment,
  service: string,
  call: NestedCall,
  speeds: Speeds = PLANNED_SPEEDS,
): number {
  const plan = methodPlan(deployment, call);
  if (plan === undefined) return 0;
  const ownMs = call.service === service ? heldMeanMs(deployment, call, speeds) : 0;
  const nested = plan.nested === undefined ? 0 : slotMsAt(deployment, service, plan.nested, speeds);
  return ownMs + nested;
}

/** The kinds of request that pass through the slowest service. */
export function kindsThroughSlowest(deployment: Deployment): readonly RequestKind[] {
  return deployment.requests.filter(
    ({ call }) => slotMsAt(deployment, deployment.slowestService, call) > 0,
  );
}

/**
 * Whole requests a second that the slowest service can carry, from its slots and the mean slot time
 * of the mix of demand. `speedFactor` 0.5 stands for a service at half speed.
 */
export function capacityRequestsPerSecond(deployment: Deployment, speedFactor = 1): number {
  const service = deployment.services.find(({ name }) => name === deployment.slowestService);
  if (service === undefined) return 0;
  const speeds = { [service.name]: speedFactor };
  const kinds = kindsThroughSlowest(deployment);
  const demand = kinds.reduce((sum, kind) => sum + kind.ratePerSecond, 0);
  const slotMs = kinds.reduce(
    (sum, { ratePerSecond, call }) =>
      sum + ratePerSecond * slotMsAt(deployment, service.name, call, speeds),
    0,
  );
  return (service.instances * service.slots * 1_000 * demand) / slotMs;
}
