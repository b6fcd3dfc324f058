import type { Deployment } from './deployment';
import type { Fault } from './fault';
import type { DemandSpan } from './load-plan';

/** Span of the load in which the goodput of a scenario is evaluated. */
export interface EvaluationSpan {
  readonly fromMs: number;
  readonly toMs: number;
  /** Speed of the slowest service in the span; 0.5 is half speed. */
  readonly speedFactor: number;
}

/** A scenario that loads a whole deployment. Times count from the start of the load. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  /** If present, runs a smaller copy of the deployment with this many instances of each service. */
  readonly instancesPerService?: number;
  readonly durationMs: number;
  readonly demand: readonly DemandSpan[];
  readonly evaluationSpan: EvaluationSpan;
  /** When the surge or fault ends; the recovery time counts from here. */
  readonly disturbanceEndsMs: number;
  faults(deployment: Deployment): readonly Fault[];
}
