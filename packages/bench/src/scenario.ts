import type { Deployment } from './deployment';
import type { Fault } from './fault';
import type { DemandSpan } from './load-plan';

/** A span in which demand exceeds capacity, or in which a scenario's goodput is judged. */
export interface JudgedSpan {
  readonly fromMs: number;
  readonly toMs: number;
  /** Speed of the slowest service in it. */
  readonly speedFactor: number;
}

/** A load scenario of whole deployments. Times count from the start of the load. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  /** Runs a smaller copy of the deployment with so many instances of each service. */
  readonly instancesPerService?: number;
  readonly durationMs: number;
  readonly demand: readonly DemandSpan[];
  readonly judged: JudgedSpan;
  /** When the cause of the trouble ends; recovery counts from here. */
  readonly causeEndsMs: number;
  faults(deployment: Deployment): readonly Fault[];
}
