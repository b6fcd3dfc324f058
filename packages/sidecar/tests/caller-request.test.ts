import { DestinationSelector } from '@daisyferry/mesh/destination-selector';
import { DownstreamShedLevels } from '@daisyferry/mesh/downstream-shed-levels';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import {
  CallRefusalReason,
  type ForwardedCallOutcome,
  type CallReply,
  type ForwardedCall,
} from '@daisyferry/mesh/forwarded-call';
import type { Route } from '@daisyferry/mesh/routing-configuration';
import { TargetChooser } from '@daisyferry/mesh/target-chooser';
import { CallerRequest } from '@daisyferry/sidecar/caller-request';
import type { SidecarEntryParts } from '@daisyferry/sidecar/entry';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import { RouteFailureGate } from '@daisyferry/mesh/route-failure-gate';
import { RetryBudget } from '@daisyferry/sidecar/retry-budget';
import { SidecarMetrics } from '@daisyferry/sidecar/sidecar-metrics';
import { describe, expect, it } from 'vitest';

const ROUTE: Route = {
  name: 'r',
  host: 'shop.example',
  prefix: '/read/',
  isIdempotent: true,
  destinations: [{ service: 's', weight: 1 }],
  timeoutMs: 1_000,
  targetLatencyMs: 300,
  maxTargets: 2,
  priority: 1,
};
/** Retries that the budget allows beyond its ratio. */
const BURST_RETRIES = 20;
const RATIO = 0.2;
const SHED_BY_TARGET: ForwardedCallOutcome = {
  kind: 'refused',
  reason: CallRefusalReason.shedByTarget,
  reachedTarget: true,
  roomInMs: 0,
};
const SERVED: ForwardedCallOutcome = {
  kind: 'answered',
  status: 200,
  reason: 'OK',
  fields: [],
  body: Buffer.alloc(0),
  endsWithConnection: false,
};

interface ForwardingResult {
  /** Ids of the daemons that the request was sent to, in order. */
  readonly sentTo: readonly string[];
  readonly status: number | undefined;
  readonly responseCount: number;
}

/**
 * Forwards one request to homes that reply with the outcomes in order. Calls without an outcome are
 * served, or with `isHeld` have their outcome when the request's deadline cancels them.
 */
function forwardRequest(
  route: Route,
  daemonIds: readonly string[],
  outcomes: readonly ForwardedCallOutcome[],
  isHeld = false,
): ForwardingResult {
  const directory = new FleetDirectory();
  for (const daemonId of daemonIds) {
    const target = { targetId: daemonId, service: 's', slots: 10, isServing: true, coldMs: 0 };
    const record = { daemonId, incarnation: 1, revision: 1, address: 'a:1', zone: 'z', target };
    directory.applyRecord({ ...record, isLeaving: false }, 'stored', 0);
  }
  const random = () => 0.5;
  const sentTo: string[] = [];
  let status: number | undefined;
  const parts: SidecarEntryParts = {
    routes: () => undefined,
    destinations: new DestinationSelector(0),
    chooser: new TargetChooser(directory, { ownZone: 'z', maxCandidates: 12 }, random),
    downstreamLevels: new DownstreamShedLevels(),
    random,
    failureGate: new RouteFailureGate(random),
    retryBudget: new RetryBudget(
      () => ({ retryRatio: RATIO, retrySlack: 2 * BURST_RETRIES }),
      () => 1,
    ),
    transport: {
      send: (daemonId: string, _call: ForwardedCall, _body: Buffer, deliver) => {
        const outcome = outcomes[sentTo.length] ?? SERVED;
        sentTo.push(daemonId);
        const reply = () => deliver({ outcome, load: undefined } satisfies CallReply);
        if (!isHeld) reply();
        return { cancel: isHeld ? reply : () => undefined };
      },
    },
    headerNames: {} as SidecarEntryParts['headerNames'],
    callerService: 'caller',
    internalIdPrefix: 'm/1/',
    log: { decision: () => undefined } as unknown as EventLog,
    metrics: new SidecarMetrics(),
    clock: () => (isHeld ? ROUTE.timeoutMs : 0),
  };
  const input = {
    requestId: 'request',
    route,
    service: 's',
    configurationVersion: 1,
    classesBelow: 1,
    method: 'GET',
    path: '/read/a',
    fields: [],
    body: Buffer.alloc(0),
    arrivedMs: 0,
    callerDeadlineMs: 1_000,
    routeDeadlineMs: 1_000,
  };
  let responseCount = 0;
  const request = new CallerRequest(input, parts, (response) => {
    responseCount += 1;
    status = response.status;
  });
  request.start(0);
  if (isHeld) request.checkDeadline(ROUTE.timeoutMs);
  return { sentTo, status, responseCount };
}

const FAILED: ForwardedCallOutcome = { ...SERVED, status: 500 };
const UNKNOWN: ForwardedCallOutcome = { kind: 'unknown', detail: 'lost' };
const FULL: ForwardedCallOutcome = {
  ...SHED_BY_TARGET,
  reason: CallRefusalReason.full,
  reachedTarget: false,
};

const DAEMONS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

function repeat(count: number, outcome: ForwardedCallOutcome): ForwardedCallOutcome[] {
  return new Array<ForwardedCallOutcome>(count).fill(outcome);
}

describe('a request that its targets do not serve', () => {
  it.each([UNKNOWN, SERVED, FULL])(
    'has one response if its deadline cancels a call that then ends as $kind',
    (outcome) => {
      const result = forwardRequest(ROUTE, ['a'], [outcome], true);
      expect(result).toMatchObject({ status: 504, responseCount: 1 });
    },
  );

  it.each([
    { action: 'shed it', outcome: SHED_BY_TARGET, isIdempotent: true, sends: 2, status: 503 },
    { action: 'shed it', outcome: SHED_BY_TARGET, isIdempotent: false, sends: 2, status: 503 },
    { action: 'fail it', outcome: FAILED, isIdempotent: true, sends: 2, status: 500 },
    { action: 'fail it', outcome: FAILED, isIdempotent: false, sends: 1, status: 500 },
    { action: 'lose it', outcome: UNKNOWN, isIdempotent: true, sends: 2, status: 502 },
    { action: 'lose it', outcome: UNKNOWN, isIdempotent: false, sends: 1, status: 502 },
  ])(
    'reaches $sends of them if they $action and isIdempotent is $isIdempotent',
    ({ outcome, isIdempotent, sends, status }) => {
      const result = forwardRequest({ ...ROUTE, isIdempotent }, DAEMONS, repeat(100, outcome));
      expect(result.sentTo).toHaveLength(sends);
      expect(new Set(result.sentTo).size).toBe(sends);
      expect(result.status).toBe(status);
    },
  );

  it('is sent to further homes only while no target has received it', () => {
    const outcomes = [FULL, FULL, ...repeat(100, SHED_BY_TARGET)];
    const { sentTo, status } = forwardRequest(ROUTE, DAEMONS, outcomes);
    expect(sentTo).toHaveLength(2 + ROUTE.maxTargets);
    expect(status).toBe(503);
  });

  it('is rejected after a few homes had no capacity, without trying all of them', () => {
    const { sentTo, status } = forwardRequest(ROUTE, DAEMONS, repeat(100, FULL));
    expect(sentTo.length).toBeLessThan(DAEMONS.length);
    expect(status).toBe(503);
  });

  it('is served by the next target', () => {
    expect(forwardRequest(ROUTE, DAEMONS, [SHED_BY_TARGET]).status).toBe(200);
    expect(
      forwardRequest({ ...ROUTE, isIdempotent: false }, DAEMONS, [SHED_BY_TARGET]).status,
    ).toBe(200);
  });
});
