import type { RequestMessage } from '@daisyferry/http1/message';
import { fieldValue } from '@daisyferry/http1/message';
import type { EventLog } from './event-log';
import type { PipelinedRequest } from './pipelined-request';
import type { SidecarMetrics } from './sidecar-metrics';

/** Why the connection of a request ended without the complete response to it. */
export const CutReason = {
  callerLeft: 'callerLeft',
  /** The daemon exits. */
  stop: 'stop',
  /** The response to a request ahead of it closed the connection. */
  behindClose: 'behindClose',
  /** The caller did not read the response. */
  unread: 'unread',
  /** The memory that the connection held was needed for others. */
  memory: 'memory',
  /** The connection gave way to a new one. */
  connectionLimit: 'connectionLimit',
  /** Handling what arrived on the connection failed. */
  failure: 'failure',
} as const;

export type CutReasonName = (typeof CutReason)[keyof typeof CutReason];

/** How far a request that was read whole had come when it was cut. */
export const CutPhase = {
  notStarted: 'notStarted',
  passedOn: 'passedOn',
  /** Its response waited for those to the requests ahead. */
  answered: 'answered',
  /** A part of its response was not sent. */
  sending: 'sending',
} as const;

export type CutPhaseName = (typeof CutPhase)[keyof typeof CutPhase];

export interface CutRequest {
  readonly request: RequestMessage;
  readonly reason: CutReasonName;
  readonly phase: CutPhaseName;
  /** Time since its last byte was read. */
  readonly ageMs: number;
}

/** Phase of a request whose response is not written. */
export function phaseOfUnwritten({ isStarted, isAnswered }: PipelinedRequest): CutPhaseName {
  if (isAnswered) return CutPhase.answered;
  return isStarted ? CutPhase.passedOn : CutPhase.notStarted;
}

/** Counts and logs the requests that were read whole and have no complete response. */
export class CutRequestReport {
  constructor(
    private readonly requestIdField: string,
    private readonly log: EventLog,
    private readonly metrics: SidecarMetrics,
  ) {}

  record({ request, reason, phase, ageMs }: CutRequest): void {
    this.metrics.countCutRequest(reason, phase);
    // The entry logs requests that their callers give up.
    if (reason === CutReason.callerLeft) return;
    const { fields, method, target } = request.head;
    this.log.decision('request cut', {
      requestId: fieldValue(fields, this.requestIdField),
      method,
      target,
      reason,
      phase,
      ageMs: Math.round(ageMs),
    });
  }
}
