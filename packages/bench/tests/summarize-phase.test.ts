import { describe, expect, it } from 'vitest';
import { summarizePhase, type PhaseData } from '../src/summarize-phase';
import { dorado } from '../src/dorado-deployment';
import type {
  AttemptEnd,
  ExecutionEnd,
  ExecutionStart,
  RequestRecord,
  TargetRecord,
} from '../src/records';
import { loadScenario } from '../src/scenarios';

function startRecord(execution: string, callKey: string, changes: Partial<ExecutionStart> = {}) {
  const request = callKey.split('/')[0] ?? '';
  const base = { kind: 'start' as const, execution, callKey, request, call: '', method: '' };
  return { ...base, target: 't1', service: 'teller', arrivedMs: 0, startedMs: 0, ...changes };
}

function endRecord(execution: string, changes: Partial<ExecutionEnd> = {}): ExecutionEnd {
  return { kind: 'end', execution, endedMs: 10, result: 'finished', ...changes };
}

function requestRecord(
  request: string,
  attempts: readonly (readonly [callKey: string, result: AttemptEnd])[],
  changes: Partial<RequestRecord> = {},
): RequestRecord {
  return {
    request,
    kind: 'payout',
    class: 'money',
    intendedMs: 0,
    endedMs: 10,
    completed: attempts.some(([, result]) => result === 'completed'),
    attempts: attempts.map(([callKey, result]) => ({
      callKey,
      result,
      entry: 'http://entry',
      startedMs: 0,
      endedMs: 10,
      reason: '',
    })),
    ...changes,
  };
}

function summarize(
  records: readonly TargetRecord[],
  requests: readonly RequestRecord[],
  drains: PhaseData['injection']['drains'] = [],
) {
  return summarizePhase({
    deployment: dorado,
    scenario: loadScenario('surge') ?? expect.fail(),
    startAtMs: 0,
    requests,
    targetRecords: records,
    injection: { drains, killed: [], policyOutcomes: [], problems: [] },
    retryBound: 3,
    storeCounts: {},
    cpuMs: {},
    generatorDelayP99Ms: 1,
  });
}

const DRAIN = {
  instance: 't1',
  entry: 'http://entry',
  drainRequestedAtMs: 0,
  drainCompletedAtMs: 5_000,
  replacedAtMs: 6_000,
};

describe('summarizePhase', () => {
  it('reports no violation for a money call that ran once', () => {
    const report = summarize(
      [startRecord('e1', 'r/1'), endRecord('e1')],
      [
        requestRecord('r', [
          ['r/0', 'not-run'],
          ['r/1', 'completed'],
        ]),
      ],
    );
    expect(report).toMatchObject({
      offeredRequests: 1,
      completedRequests: 1,
      moneyOffered: 1,
      moneyCompletedRatio: 1,
      duplicateExecutions: 0,
      falseNotRun: 0,
      crossedAnswers: 0,
      cutAnswers: 0,
      maxRetriesPerRequest: 0,
      workAfterDrain: 0,
      cutByDrain: 0,
      wastedSlotMs: 0,
    });
  });

  it('counts a money request that ran twice, even with different call keys', () => {
    const records = [startRecord('e1', 'r/1'), startRecord('e2', 'r/2')];
    expect(summarize(records, [requestRecord('r', [])]).duplicateExecutions).toBe(1);
  });

  it('counts a not-run result as false if a target ran the call', () => {
    const requests = [requestRecord('r', [['r/1', 'not-run']])];
    expect(summarize([startRecord('e1', 'r/1')], requests).falseNotRun).toBe(1);
  });

  it('counts a false not-run result of a nested call', () => {
    const nested = { callKey: 'e1>vault', outcome: 'not-run', reason: 'shed' } as const;
    const records = [
      startRecord('e1', 'r/1'),
      endRecord('e1', { nested }),
      startRecord('e2', 'e1>vault'),
    ];
    expect(summarize(records, [requestRecord('r', [])]).falseNotRun).toBe(1);
  });

  it('sums the retries over the call tree of one attempt', () => {
    const records = [
      startRecord('e1', 'r/1'),
      startRecord('e2', 'r/1'),
      startRecord('e3', 'e2>pricing'),
      startRecord('e4', 'e2>pricing'),
      startRecord('e5', 'e4>archive'),
      startRecord('e6', 's/1'),
    ];
    expect(summarize(records, []).maxRetriesPerRequest).toBe(2);
  });

  it('counts crossed and cut responses', () => {
    const requests = [
      requestRecord('r', [['r/0', 'crossed']]),
      requestRecord('s', [['s/0', 'cut']]),
    ];
    expect(summarize([], requests)).toMatchObject({ crossedAnswers: 1, cutAnswers: 1 });
  });

  it('counts calls that reach a drained target too late and executions that its stop interrupts', () => {
    const late = startRecord('e1', 'r/1', { arrivedMs: 2_500 });
    const early = startRecord('e2', 's/1', { arrivedMs: 1_500 });
    const records = [late, endRecord('e1'), early];
    expect(summarize(records, [], [DRAIN])).toMatchObject({ workAfterDrain: 1, cutByDrain: 1 });
  });

  it('counts attempts that lost their connection to a drained daemon', () => {
    const requests = [requestRecord('r', [['r/0', 'lost']])];
    expect(summarize([], requests, [DRAIN]).cutByDrain).toBe(1);
  });

  it('counts the slot time of attempts that did not complete', () => {
    const records = [startRecord('e1', 'r/1'), endRecord('e1', { endedMs: 40 })];
    expect(summarize(records, [requestRecord('r', [['r/1', 'gave-up']])]).wastedSlotMs).toBe(40);
  });

  it.each([
    { failsUntilMs: 20_000, expected: 0 },
    { failsUntilMs: 21_000, expected: 1_000 },
    { failsUntilMs: 32_000, expected: null },
  ])('reports recovery when requests fail until $failsUntilMs', ({ failsUntilMs, expected }) => {
    const requests = Array.from({ length: 3_200 }, (_, index) => {
      const intendedMs = index * 10;
      const completed = intendedMs < 10_000 || intendedMs >= failsUntilMs;
      return requestRecord(`r${index}`, [], { intendedMs, endedMs: intendedMs, completed });
    });
    expect(summarize([], requests).recoveryTimeMs).toBe(expected);
  });
});
