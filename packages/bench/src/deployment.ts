import type { CallClassName } from '@daisyferry/model/call-class';

export type BenchHttpMethod = 'GET' | 'POST';

/** A call of a method of a service, by a caller or nested in another call. */
export interface ServiceCall {
  readonly service: string;
  readonly httpMethod: BenchHttpMethod;
  readonly path: string;
}

/** Processing of one method at a stand-in target. */
export interface MethodPlan {
  readonly httpMethod: BenchHttpMethod;
  readonly path: string;
  /** Mean processing time of the target itself, without the nested call. */
  readonly workMeanMs: number;
  readonly nested?: ServiceCall;
}

export interface ServicePlan {
  readonly name: string;
  readonly instances: number;
  readonly slots: number;
  readonly connections: number;
  readonly methods: readonly MethodPlan[];
}

/** How long callers of one kind of request wait and how often they retry. */
export interface PatiencePlan {
  /** Mean timeout of one attempt. */
  readonly attemptMeanMs: number;
  readonly attemptMinMs: number;
  /** Standard deviation of the logarithm of the timeout, which is log-normal. */
  readonly sigma: number;
  /** Time from the intended start after which the caller stops retrying. */
  readonly totalMs: number;
  readonly maxAttempts: number;
}

/** One kind of request that callers send. */
export interface RequestKind {
  readonly name: string;
  readonly class: CallClassName;
  readonly call: ServiceCall;
  /** Arrival rate outside a surge. */
  readonly ratePerSecond: number;
  readonly patience: PatiencePlan;
}

/** A deployment: services, call graph and demand, with the numbers that the users gave. */
export interface Deployment {
  readonly name: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly services: readonly ServicePlan[];
  readonly requests: readonly RequestKind[];
  /** The service with the fewest slots, which becomes overloaded first. */
  readonly slowestService: string;
}

/** Returns the plan of the called method, or undefined if the service does not have it. */
export function findMethodPlan(deployment: Deployment, call: ServiceCall): MethodPlan | undefined {
  const service = deployment.services.find(({ name }) => name === call.service);
  return service?.methods.find(
    ({ httpMethod, path }) => httpMethod === call.httpMethod && path === call.path,
  );
}

/** Speed factor by service, 1 if absent; 0.5 is half speed. */
export type ServiceSpeeds = Readonly<Record<string, number>>;

const FULL_SPEED: ServiceSpeeds = {};

/** Mean time in ms for which a call occupies its slot: own processing and the nested call. */
export function meanSlotTimeMs(
  deployment: Deployment,
  call: ServiceCall,
  speeds: ServiceSpeeds = FULL_SPEED,
): number {
  const plan = findMethodPlan(deployment, call);
  if (plan === undefined) return 0;
  const nestedMs = plan.nested === undefined ? 0 : meanSlotTimeMs(deployment, plan.nested, speeds);
  return plan.workMeanMs / (speeds[call.service] ?? 1) + nestedMs;
}

/** Mean slot time in ms that a request uses at a service, over its whole call tree. */
export function slotTimeAtServiceMs(
  deployment: Deployment,
  service: string,
  call: ServiceCall,
  speeds: ServiceSpeeds = FULL_SPEED,
): number {
  const plan = findMethodPlan(deployment, call);
  if (plan === undefined) return 0;
  const ownMs = call.service === service ? meanSlotTimeMs(deployment, call, speeds) : 0;
  const nestedMs =
    plan.nested === undefined ? 0 : slotTimeAtServiceMs(deployment, service, plan.nested, speeds);
  return ownMs + nestedMs;
}

/** The kinds of request whose call tree includes the slowest service. */
export function kindsUsingSlowestService(deployment: Deployment): readonly RequestKind[] {
  return deployment.requests.filter(
    ({ call }) => slotTimeAtServiceMs(deployment, deployment.slowestService, call) > 0,
  );
}

/**
 * Requests per second that the slowest service can process, from its slots and the mean slot time
 * of the request mix. `speedFactor` is the speed of that service; 0.5 is half speed.
 */
export function capacityRequestsPerSecond(deployment: Deployment, speedFactor = 1): number {
  const service = deployment.services.find(({ name }) => name === deployment.slowestService);
  if (service === undefined) return 0;
  const speeds = { [service.name]: speedFactor };
  const kinds = kindsUsingSlowestService(deployment);
  const demandPerSecond = kinds.reduce((sum, kind) => sum + kind.ratePerSecond, 0);
  const slotMsPerSecond = kinds.reduce(
    (sum, { ratePerSecond, call }) =>
      sum + ratePerSecond * slotTimeAtServiceMs(deployment, service.name, call, speeds),
    0,
  );
  return (service.instances * service.slots * 1_000 * demandPerSecond) / slotMsPerSecond;
}
