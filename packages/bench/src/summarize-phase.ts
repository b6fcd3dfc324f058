import { capacityRequestsPerSecond, kindsUsingSlowestService, type Deployment } from './deployment';
import { joinExecutions } from './executions';
import type { InjectionLog } from './fault-injector';
import {
  completedRatio,
  countCompletedWithin,
  computeRecoveryTimeMs,
  sumWastedSlotMs,
  type WallSpan,
} from './goodput';
import { latencyByKind } from './latency';
import type { RequestRecord, TargetRecord } from './records';
import type { PhaseReport } from './report';
import { countSafetyViolations } from './safety-counts';
import type { Scenario } from './scenario';

const MS_PER_SECOND = 1_000;
/** The first seconds are excluded from the normal span: targets and connections are cold. */
const WARM_UP_MS = 3_000;

/** Records and measurements of one phase of a run. */
export interface PhaseData {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly startAtMs: number;
  readonly requests: readonly RequestRecord[];
  readonly targetRecords: readonly TargetRecord[];
  readonly injection: InjectionLog;
  readonly retryBound: number;
  readonly storeCounts: Readonly<Record<string, number>>;
  readonly cpuMs: Readonly<Record<string, number>>;
  readonly generatorDelayP99Ms: number;
}

function ratioOrOne(numerator: number, denominator: number): number {
  return denominator === 0 ? 1 : numerator / denominator;
}

function computeGoodputRatio(data: PhaseData, span: WallSpan, capacityPerSecond: number): number {
  const kindNames = kindsUsingSlowestService(data.deployment).map(({ name }) => name);
  const matchingRequests = data.requests.filter(({ kind }) => kindNames.includes(kind));
  const offered = matchingRequests.filter(
    ({ intendedMs }) => intendedMs >= span.fromMs && intendedMs < span.toMs,
  );
  const capacityOfSpan = (capacityPerSecond * (span.toMs - span.fromMs)) / MS_PER_SECOND;
  return ratioOrOne(
    countCompletedWithin(matchingRequests, span),
    Math.min(capacityOfSpan, offered.length),
  );
}

function countAttemptsByResult(requests: readonly RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { attempts } of requests) {
    for (const { result, reason } of attempts) {
      const key = result === 'completed' ? result : `${result}: ${reason}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
  }
  return counts;
}

function toWallSpan(startAtMs: number, fromMs: number, toMs: number): WallSpan {
  return { fromMs: startAtMs + fromMs, toMs: startAtMs + toMs };
}

/** Computes the figures of one phase of a run. */
export function summarizePhase(data: PhaseData): PhaseReport {
  const { deployment, scenario, startAtMs, requests, injection } = data;
  const executions = joinExecutions(data.targetRecords);
  const evaluationSpan = toWallSpan(
    startAtMs,
    scenario.evaluationSpan.fromMs,
    scenario.evaluationSpan.toMs,
  );
  const normalSpan = toWallSpan(startAtMs, WARM_UP_MS, scenario.evaluationSpan.fromMs);
  const disturbanceEndsMs = startAtMs + scenario.disturbanceEndsMs;
  const endsMs = startAtMs + scenario.durationMs;
  const capacity = capacityRequestsPerSecond(deployment, scenario.evaluationSpan.speedFactor);
  const moneyRequests = requests.filter((request) => request.class === 'money');
  return {
    offeredRequests: requests.length,
    completedRequests: requests.filter(({ completed }) => completed).length,
    capacityRequestsPerSecond: capacity,
    goodputRatio: computeGoodputRatio(data, evaluationSpan, capacity),
    moneyOffered: moneyRequests.length,
    moneyCompletedRatio: ratioOrOne(
      moneyRequests.filter(({ completed }) => completed).length,
      moneyRequests.length,
    ),
    recoveryTimeMs: computeRecoveryTimeMs(requests, normalSpan, disturbanceEndsMs, endsMs),
    retryBound: data.retryBound,
    ...countSafetyViolations(executions, requests, injection.drains),
    wastedSlotMs: sumWastedSlotMs(executions, requests),
    completedShareJudged: completedRatio(requests, evaluationSpan),
    latency: latencyByKind(requests),
    attempts: countAttemptsByResult(requests),
    policyOutcomes: injection.policyOutcomes,
    storeCounts: data.storeCounts,
    cpuMs: data.cpuMs,
    generatorDelayP99Ms: data.generatorDelayP99Ms,
    problems: injection.problems,
  };
}
