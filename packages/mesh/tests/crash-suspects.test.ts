import {
  CrashSuspects,
  type CrashEvidence,
  type CrashReport,
} from '@daisyferry/mesh/crash-suspects';
import { SuspectGate } from '@daisyferry/mesh/suspect-gate';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const HOMES = 4;
const STEP_MS = 5;
const RUN_MS = 30;
const RESTART_MS = 2_000;
/** Time until news reach the other homes. */
const SPREAD_MS = 15;
const CULPRIT = 'culprit';
const POPULAR = 'popular';

interface Run {
  readonly fingerprint: string;
  readonly evidenceAtStart: ReturnType<CrashSuspects['evidenceOf']>;
  readonly isApart: boolean;
  readonly endsMs: number;
}

class SimulatedHome {
  readonly suspects = new CrashSuspects();

  readonly runs = new Set<Run>();

  private readonly gate: SuspectGate;

  downUntilMs = 0;

  constructor(readonly daemonId: string) {
    const trialHomeOf = () => 'home-0';
    this.gate = new SuspectGate({ suspects: this.suspects, trialHomeOf, ownDaemonId: daemonId });
  }

  goDown(nowMs: number): void {
    this.runs.clear();
    this.downUntilMs = nowMs + RESTART_MS;
  }

  /** Returns false if the request is refused. */
  start(fingerprint: string, nowMs: number): boolean {
    const isApartRunning = () => [...this.runs].some(({ isApart }) => isApart);
    const decision = this.gate.admit({ service: 's', fingerprint, isApartRunning }, nowMs);
    if (decision.kind === 'refused') return false;
    const evidenceAtStart = this.suspects.evidenceOf(fingerprint);
    const { isApart } = decision;
    this.runs.add({ fingerprint, evidenceAtStart, isApart, endsMs: nowMs + RUN_MS });
    return true;
  }
}

interface FleetResult {
  readonly crashes: number;
  /** Requests other than the culprit that were blocked. */
  readonly blocked: number;
  readonly servedShare: number;
}

/** Simulates homes at which a culprit arrives, beside a popular read and requests that occur once. */
function simulateFleet(callsPerStep: number, lengthMs: number): FleetResult {
  const homes = Array.from({ length: HOMES }, (_, index) => new SimulatedHome(`home-${index}`));
  const news: { readonly atMs: number; readonly reports: readonly CrashReport[] }[] = [];
  const result = { crashes: 0, blocked: 0, served: 0, offered: 0 };
  let turn = 0;

  /** Sends a request; a repetition carries what its entry was told. */
  function send(fingerprint: string, nowMs: number, known?: CrashEvidence): void {
    const up = homes.filter(({ downUntilMs }) => downUntilMs <= nowMs);
    if (fingerprint !== CULPRIT && known === undefined) result.offered += 1;
    for (let tries = 0; tries < up.length; tries += 1) {
      turn += 1;
      up[turn % up.length]?.suspects.learn(fingerprint, known, nowMs);
      if (up[turn % up.length]?.start(fingerprint, nowMs) === true) return;
    }
    if (fingerprint !== CULPRIT && up.length > 0) result.blocked += 1;
  }

  function finishRuns(home: SimulatedHome, nowMs: number): void {
    const ended = [...home.runs].filter(({ endsMs }) => endsMs <= nowMs);
    if (ended.some(({ fingerprint }) => fingerprint === CULPRIT)) {
      result.crashes += 1;
      const lost = [...home.runs];
      news.push({ atMs: nowMs, reports: home.suspects.recordCrash(lost, nowMs) });
      home.goDown(nowMs);
      for (const { fingerprint } of lost) {
        if (!home.suspects.isRetryBarred(fingerprint)) {
          send(fingerprint, nowMs, home.suspects.evidenceOf(fingerprint));
        }
      }
      return;
    }
    for (const run of ended) {
      home.runs.delete(run);
      result.served += 1;
      news.push({ atMs: nowMs, reports: home.suspects.recordAnswer(run.fingerprint, nowMs) });
    }
  }

  for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
    while (news[0] !== undefined && news[0].atMs + SPREAD_MS <= nowMs) {
      for (const home of homes) home.suspects.merge(news[0].reports, nowMs);
      news.shift();
    }
    for (const home of homes) finishRuns(home, nowMs);
    if (nowMs % 200 === 0) send(CULPRIT, nowMs);
    for (let call = 0; call < callsPerStep; call += 1) {
      send(call === 0 ? POPULAR : `once-${nowMs}-${call}`, nowMs);
    }
  }
  return {
    crashes: result.crashes,
    blocked: result.blocked,
    servedShare: result.served / result.offered,
  };
}

describe('a request that crashes its targets, beside others', () => {
  it.each([1, 2, 12])('is blocked alone, with %i other calls in 5 ms', (callsPerStep) => {
    const { crashes, blocked, servedShare } = simulateFleet(callsPerStep, 4_000);
    expect(crashes).toBeLessThanOrEqual(3);
    expect(blocked).toBe(0);
    expect(servedShare).toBeGreaterThan(0.95);
  });

  it('is tried again once after 5 s and after a minute, and not more', () => {
    expect(simulateFleet(1, 60_000).crashes).toBeLessThanOrEqual(4);
    expect(simulateFleet(1, 120_000).crashes).toBeLessThanOrEqual(5);
  });
});

const REPORT = fc.record({
  fingerprint: fc.constantFrom('a', 'b'),
  clearances: fc.nat(2),
  crashes: fc.nat(5),
  ageMs: fc.constant(0),
});

describe('CrashSuspects', () => {
  const lostOnce = (fingerprint: string, suspects: CrashSuspects) => [
    { fingerprint, evidenceAtStart: suspects.evidenceOf(fingerprint) },
    { fingerprint: 'other', evidenceAtStart: suspects.evidenceOf('other') },
  ];

  it('knows the same after the same reports in any order', () => {
    fc.assert(
      fc.property(fc.array(REPORT), (reports) => {
        const [first, second] = [new CrashSuspects(), new CrashSuspects()];
        first.merge(reports, 0);
        for (const report of [...reports].reverse()) second.merge([report], 0);
        for (const each of ['a', 'b']) {
          expect(first.evidenceOf(each)).toEqual(second.evidenceOf(each));
        }
      }),
    );
  });

  it('blocks nothing for targets that crash together', () => {
    const suspects = new CrashSuspects();
    const atStart = lostOnce('popular', suspects);
    for (let crash = 0; crash < 5; crash += 1) suspects.recordCrash(atStart, 0);
    expect(suspects.decide('popular', 1)).toEqual({ kind: 'free' });
  });

  it('frees a request everywhere with one response, as in a trial', () => {
    const [here, elsewhere] = [new CrashSuspects(), new CrashSuspects()];
    for (let crash = 0; crash < 3; crash += 1) {
      elsewhere.merge(here.recordCrash(lostOnce('mended', here), 0), 0);
    }
    expect(elsewhere.decide('mended', 1).kind).toBe('blocked');
    expect(here.decide('mended', 5_000).kind).toBe('trial');
    elsewhere.merge(here.recordAnswer('mended', 5_030), 5_040);
    expect(elsewhere.decide('mended', 5_041)).toEqual({ kind: 'free' });
  });

  it('is bounded, and keeps what is blocked while others are reported', () => {
    const suspects = new CrashSuspects();
    suspects.merge([{ fingerprint: 'blocked', clearances: 0, crashes: 3, ageMs: 0 }], 0);
    for (let index = 0; index < 5_000; index += 1) {
      suspects.merge([{ fingerprint: `f${index}`, clearances: 0, crashes: 1, ageMs: 0 }], 0);
    }
    expect(suspects.size).toBeLessThanOrEqual(1_024);
    expect(suspects.decide('blocked', 1).kind).toBe('blocked');
    suspects.removeExpired(700_000);
    expect(suspects.size).toBe(1);
  });
});
