import { capacityRequestsPerSecond, kindsThroughSlowest, type Deployment } from './deployment';
import { joinExecutions } from './executions';
import type { InjectionLog } from './fault-injector';
import {
  completedShare,
  completedWithin,
  recoveryTimeMs,
  wastedSlotMs,
  type WallSpan,
} from './goodput';
import { latencyByKind } from './latency';
import type { RequestRecord, TargetRecord } from './records';
import type { PhaseReport } from './report';
import { countSafety } from './safety';
import type { Scenario } from './scenario';

const MS_PER_SECOND = 1_000;
/** Requests of the first seconds are no measure of normal: targets and connections are cold. */
const SETTLE_MS = 3_000;

/** Everything that one half of a run left behind. */
export interface PhaseEvidence {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly startAtMs: number;
  readonly requests: readonly RequestRecord[];
  readonly records: readonly TargetRecord[];
  readonly injection: InjectionLog;
  readonly retryBound: number;
  readonly storeCounts: Readonly<Record<string, number>>;
  readonly cpuMs: Readonly<Record<string, number>>;
  readonly generatorDelayP99Ms: number;
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}

function goodputRatio(evidence: PhaseEvidence, judged: WallSpan, capacity: number): number {
  const kinds = kindsThroughSlowest(evidence.deployment).map(({ name }) => name);
  const through = evidence.requests.filter(({ kind }) => kinds.includes(kind));
  const offered = through.filter(
    ({ intendedMs }) => intendedMs >= judged.fromMs && intendedMs < judged.toMs,
  );
  const carried = (capacity * (judged.toMs - judged.fromMs)) / MS_PER_SECOND;
  return ratio(completedWithin(through, judged), Math.min(carried, offered.length));
}

function attemptCounts(requests: readonly RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { attempts } of requests) {
    for (const { result, reason } of attempts) {
      const key = result === 'completed' ? result : `${result}: ${reason}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
  }
  return counts;
}

function wallSpan(startAtMs: number, fromMs: number, toMs: number): WallSpan {
  return { fromMs: startAtMs + fromMs, toMs: startAtMs + toMs };
}

/** Works out the figures of one half of a run. */
export function accountFor(evidence: PhaseEvidence): PhaseReport {
  const { deployment, scenario, startAtMs, requests, injection } = evidence;
  const executions = joinExecutions(evidence.records);
  const judged = wallSpan(startAtMs, scenario.judged.fromMs, scenario.judged.toMs);
  const normal = wallSpan(startAtMs, SETTLE_MS, scenario.judged.fromMs);
  const causeEndsMs = startAtMs + scenario.causeEndsMs;
  const endsMs = startAtMs + scenario.durationMs;
  const capacity = capacityRequestsPerSecond(deployment, scenario.judged.speedFactor);
  const money = requests.filter((request) => request.class === 'money');
  return {
    offeredRequests: requests.length,
    completedRequests: requests.filter(({ completed }) => completed).length,
    capacityRequestsPerSecond: capacity,
    goodputRatio: goodputRatio(evidence, judged, capacity),
    moneyOffered: money.length,
    moneyCompletedRatio: ratio(money.filter(({ completed }) => completed).length, money.length),
    recoveryTimeMs: recoveryTimeMs(requests, normal, causeEndsMs, endsMs),
    retryBound: evidence.retryBound,
    ...countSafety(executions, requests, injection.drains),
    wastedSlotMs: wastedSlotMs(executions, requests),
    completedShareJudged: completedShare(requests, judged),
    latency: latencyByKind(requests),
    attempts: attemptCounts(requests),
    policyOutcomes: injection.policyOutcomes,
    storeCounts: evidence.storeCounts,
    cpuMs: evidence.cpuMs,
    generatorDelayP99Ms: evidence.generatorDelayP99Ms,
    problems: injection.problems,
  };
}
