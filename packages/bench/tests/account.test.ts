import { describe, expect, it } from 'vitest';
import { accountFor, type PhaseEvidence } from '../src/account';
import { dorado } from '../src/dorado';
import type {
  AttemptResult,
  ExecutionEnd,
  ExecutionStart,
  RequestRecord,
  TargetRecord,
} from '../src/records';
import { loadScenario } from '../src/scenarios';

function started(execution: string, callKey: string, changes: Partial<ExecutionStart> = {}) {
  const request = callKey.split('/')[0] ?? '';
  const base = { kind: 'start' as const, execution, callKey, request, call: '', method: '' };
  return { ...base, target: 't1', service: 'teller', arrivedMs: 0, startedMs: 0, ...changes };
}

function ended(execution: string, changes: Partial<ExecutionEnd> = {}): ExecutionEnd {
  return { kind: 'end', execution, endedMs: 10, result: 'finished', ...changes };
}

function requested(
  request: string,
  attempts: readonly (readonly [callKey: string, result: AttemptResult])[],
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

function account(
  records: readonly TargetRecord[],
  requests: readonly RequestRecord[],
  drains: PhaseEvidence['injection']['drains'] = [],
) {
  return accountFor({
    deployment: dorado,
    scenario: loadScenario('surge') ?? expect.fail(),
    startAtMs: 0,
    requests,
    records,
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
  drainedAtMs: 0,
  leftAtMs: 5_000,
  replacedAtMs: 6_000,
};

describe('accountFor', () => {
  it('finds nothing wrong with one money call that ran once', () => {
    const report = account(
      [started('e1', 'r/1'), ended('e1')],
      [
        requested('r', [
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

  it('counts a money request that ran twice, also under two call keys', () => {
    const records = [started('e1', 'r/1'), started('e2', 'r/2')];
    expect(account(records, [requested('r', [])]).duplicateExecutions).toBe(1);
  });

  it('counts a refusal as false when a target ran the call', () => {
    const requests = [requested('r', [['r/1', 'not-run']])];
    expect(account([started('e1', 'r/1')], requests).falseNotRun).toBe(1);
  });

  it('counts a false refusal of a nested call', () => {
    const nested = { callKey: 'e1>vault', outcome: 'not-run', reason: 'shed' } as const;
    const records = [started('e1', 'r/1'), ended('e1', { nested }), started('e2', 'e1>vault')];
    expect(account(records, [requested('r', [])]).falseNotRun).toBe(1);
  });

  it('adds up the retries of a whole tree below one attempt', () => {
    const records = [
      started('e1', 'r/1'),
      started('e2', 'r/1'),
      started('e3', 'e2>pricing'),
      started('e4', 'e2>pricing'),
      started('e5', 'e4>archive'),
      started('e6', 's/1'),
    ];
    expect(account(records, []).maxRetriesPerRequest).toBe(2);
  });

  it('counts crossed and cut answers', () => {
    const requests = [requested('r', [['r/0', 'crossed']]), requested('s', [['s/0', 'cut']])];
    expect(account([], requests)).toMatchObject({ crossedAnswers: 1, cutAnswers: 1 });
  });

  it('counts work that reaches a leaving target late and work that its stop cut off', () => {
    const late = started('e1', 'r/1', { arrivedMs: 2_500 });
    const early = started('e2', 's/1', { arrivedMs: 1_500 });
    const records = [late, ended('e1'), early];
    expect(account(records, [], [DRAIN])).toMatchObject({ workAfterDrain: 1, cutByDrain: 1 });
  });

  it('counts attempts that lost their connection to a daemon that left', () => {
    const requests = [requested('r', [['r/0', 'lost']])];
    expect(account([], requests, [DRAIN]).cutByDrain).toBe(1);
  });

  it('counts the slot time of attempts that did not complete', () => {
    const records = [started('e1', 'r/1'), ended('e1', { endedMs: 40 })];
    expect(account(records, [requested('r', [['r/1', 'gave-up']])]).wastedSlotMs).toBe(40);
  });

  it.each([
    { failsUntilMs: 20_000, expected: 0 },
    { failsUntilMs: 21_000, expected: 1_000 },
    { failsUntilMs: 32_000, expected: null },
  ])('reports recovery when requests fail until $failsUntilMs', ({ failsUntilMs, expected }) => {
    const requests = Array.from({ length: 3_200 }, (_, index) => {
      const intendedMs = index * 10;
      const completed = intendedMs < 10_000 || intendedMs >= failsUntilMs;
      return requested(`r${index}`, [], { intendedMs, endedMs: intendedMs, completed });
    });
    expect(account([], requests).recoveryTimeMs).toBe(expected);
  });
});
