import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { TargetLoad } from '@daisyferry/mesh/forwarded-call';
import { RouteCallerCounter } from '@daisyferry/mesh/route-caller-counter';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import { TargetChooser } from '@daisyferry/mesh/target-chooser';
import { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import { RetryBudget } from '@daisyferry/sidecar/retry-budget';
import { expect, it } from 'vitest';

const HOMES = ['h0', 'h1', 'h2', 'h3'];
/** Services on whose machines callers are; the second one makes the nested calls. */
const ENTRY_SERVICES = ['archive', 'teller', 'pricing'];
const ENTRY_COUNT = 12;
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 48;
const WINDOW_MS = 10_000;
const TICK_MS = 10;
const NESTED_PER_TICK = 24;
const CALLER_REQUESTS_PER_S = 77;
const NESTED_END_MS = 40_000;
const REJECTED_SHARE = 0.55;
const REJECTING_MS = 8_500;
const MAX_ATTEMPTS = 4;

interface SimulatedEntry {
  readonly service: string;
  readonly chooser: TargetChooser;
  readonly budget: RetryBudget;
}

function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function entryOf(service: string, random: () => number): SimulatedEntry {
  const directory = new FleetDirectory();
  for (const daemonId of HOMES) {
    const target = { targetId: daemonId, service: 's', slots: 18, isServing: true, coldMs: 0 };
    const address = new SocketAddress('10.0.0.1', 1);
    const record = { daemonId, incarnation: 1, revision: 1, address, zone: 'z', isLeaving: false };
    directory.applyRecord({ ...record, target }, 'stored', 0);
    directory.setConnected(daemonId, true, 0);
  }
  const options = { ownZone: 'z', maxCandidates: 12, notices: new TargetNoticeTable() };
  return {
    service,
    chooser: new TargetChooser(directory, options, random),
    budget: new RetryBudget(
      () => ({ retryRatio: RETRY_RATIO, retrySlack: RETRY_SLACK }),
      () => ENTRY_COUNT + HOMES.length,
    ),
  };
}

/** Plays the load; returns the repeats of callers' requests and what the bound allows. */
function play(rejectingFromMs: number, seed: number) {
  const random = seededRandom(seed);
  const counters = HOMES.map(() => new RouteCallerCounter());
  const entries = Array.from({ length: ENTRY_COUNT }, (_, index) =>
    entryOf(ENTRY_SERVICES[index % ENTRY_SERVICES.length] ?? '', random),
  );
  let callsOfWindow = 0;
  let repeats = 0;

  /** Sends one call to a home; returns whether it was rejected. */
  function send(entry: SimulatedEntry, route: string, nowMs: number): boolean {
    const index = Math.floor(random() * HOMES.length);
    const counter = counters[index];
    if (counter === undefined) throw new Error('no such home');
    counter.recordCall(route, entry.service, nowMs);
    const isRejecting = nowMs >= rejectingFromMs && nowMs < rejectingFromMs + REJECTING_MS;
    const isRejected = isRejecting && random() < REJECTED_SHARE;
    const load: TargetLoad = {
      running: 1,
      waiting: 0,
      limit: 18,
      serviceMs: 4,
      level: 0,
      internalShare: counter.internalShare(nowMs),
      isInternal: counter.isInternal(route),
      routeMs: 4,
    };
    const outcome = isRejected ? 'turnedAway' : 'served';
    entry.chooser.recordEnded(HOMES[index] ?? '', route, load, outcome, nowMs);
    return isRejected;
  }

  function request(entry: SimulatedEntry, route: string, nowMs: number): void {
    const origin = () => ({
      service: 's',
      isInternal: entry.chooser.isInternal(route),
      classesBelow: 0,
      internalShare: entry.chooser.internalShareOf('s', nowMs),
      hasCallsBelow: false,
      areCallersFirst: false,
    });
    entry.budget.countRequest(origin(), nowMs);
    let isRejected = send(entry, route, nowMs);
    for (let attempt = 1; isRejected && attempt < MAX_ATTEMPTS; attempt += 1) {
      if (!entry.budget.tryRetry(origin(), nowMs)) return;
      repeats += 1;
      isRejected = send(entry, route, nowMs);
    }
  }

  let due = 0;
  for (let nowMs = 0; nowMs < rejectingFromMs + REJECTING_MS; nowMs += TICK_MS) {
    due += (CALLER_REQUESTS_PER_S * TICK_MS) / 1_000;
    for (; due >= 1; due -= 1) {
      const entry = entries[Math.floor(random() * ENTRY_COUNT)];
      if (entry !== undefined) request(entry, 'quote', nowMs);
      if (nowMs >= rejectingFromMs + REJECTING_MS - WINDOW_MS) callsOfWindow += 1;
    }
    const tellers = entries.filter(({ service }) => service === 'teller');
    for (let call = 0; nowMs < NESTED_END_MS && call < NESTED_PER_TICK; call += 1) {
      const entry = tellers[call % tellers.length];
      if (entry !== undefined) request(entry, 'table', nowMs);
    }
  }
  return { repeats, allowed: RETRY_RATIO * callsOfWindow + RETRY_SLACK };
}

// Guards against retries of callers that rest on nested calls which have moved away (BUDGET).
it.each([1, 2, 3])(
  'callers retry within the budget of their own requests once nested calls have moved, seed %i',
  (seed) => {
    const { repeats, allowed } = play(NESTED_END_MS + 2 * WINDOW_MS, seed);
    expect(repeats).toBeGreaterThan(RETRY_SLACK / 4);
    expect(repeats).toBeLessThanOrEqual(allowed);
  },
);
