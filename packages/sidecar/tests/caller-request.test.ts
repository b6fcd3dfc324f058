import {
  CallRefusalReason,
  type ForwardedCallOutcome,
  type CallReply,
} from '@daisyferry/mesh/forwarded-call';
import type { Route } from '@daisyferry/mesh/routing-configuration';
import { CallerRequest, type CallerRequestInput } from '@daisyferry/sidecar/caller-request';
import type { SidecarEntryParts } from '@daisyferry/sidecar/entry';
import { describe, expect, it } from 'vitest';
import { buildEntryParts } from './support/entry-parts';

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
  isPublic: false,
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
}

function buildParts(
  daemonIds: readonly string[],
  send: SidecarEntryParts['transport']['send'],
  nowMs = 0,
): SidecarEntryParts {
  const bounds = { retryRatio: RATIO, retrySlack: 2 * BURST_RETRIES };
  const overrides = { transport: { send }, clock: () => nowMs };
  return buildEntryParts(daemonIds, { bounds, random: 0.5 }, overrides);
}

function buildInput(route: Route): CallerRequestInput {
  return {
    requestId: 'request',
    attemptKey: 'm/1/1',
    route,
    priority: route.priority,
    account: undefined,
    origin: undefined,
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
}

/** Forwards one request to homes that reply with the outcomes in order. */
function forwardRequest(
  route: Route,
  daemonIds: readonly string[],
  outcomes: readonly ForwardedCallOutcome[],
): ForwardingResult {
  const sentTo: string[] = [];
  let status: number | undefined;
  const parts = buildParts(daemonIds, (daemonId, _call, _body, deliver) => {
    const outcome = outcomes[sentTo.length] ?? SERVED;
    sentTo.push(daemonId);
    deliver({ outcome, load: undefined });
    return { cancel: () => undefined };
  });
  new CallerRequest(buildInput(route), parts, (response) => {
    status = response.status;
  }).start(0);
  return { sentTo, status };
}

const FAILED: ForwardedCallOutcome = { ...SERVED, status: 500 };
const UNKNOWN: ForwardedCallOutcome = { kind: 'unknown', detail: 'lost' };
const FULL: ForwardedCallOutcome = {
  ...SHED_BY_TARGET,
  reason: CallRefusalReason.full,
  reachedTarget: false,
};

/** Maximum number of times that targets receive an idempotent request which they turn away. */
const MAX_ARRIVALS = 12;
const DAEMONS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

function repeat(count: number, outcome: ForwardedCallOutcome): ForwardedCallOutcome[] {
  return new Array<ForwardedCallOutcome>(count).fill(outcome);
}

describe('a request at its deadline', () => {
  it.each([
    { action: 'refuses it', outcome: { ...FULL, reason: CallRefusalReason.cancelled } },
    { action: 'loses it', outcome: UNKNOWN },
    { action: 'is full', outcome: FULL },
    { action: 'serves it', outcome: SERVED },
  ])('is answered once though its home $action when it is cancelled', ({ outcome }) => {
    const statuses: number[] = [];
    // The home of the same daemon settles a cancelled call before `cancel` returns.
    const input = buildInput(ROUTE);
    const send: SidecarEntryParts['transport']['send'] = (_daemonId, _call, _body, deliver) => ({
      cancel: () => deliver({ outcome, load: undefined }),
    });
    const parts = buildParts(['a', 'b'], send, input.routeDeadlineMs);
    const request = new CallerRequest(input, parts, ({ status }) => statuses.push(status));
    request.start(0);
    request.checkDeadline(input.routeDeadlineMs);
    expect(statuses).toEqual([504]);
  });

  it('is answered once by a home that replies twice', () => {
    const statuses: number[] = [];
    let reply: (reply: CallReply) => void = () => undefined;
    const parts = buildParts(['a', 'b'], (_daemonId, _call, _body, deliver) => {
      reply = deliver;
      return { cancel: () => undefined };
    });
    const request = new CallerRequest(buildInput(ROUTE), parts, ({ status }) =>
      statuses.push(status),
    );
    request.start(0);
    reply({ outcome: SERVED, load: undefined });
    reply({ outcome: FAILED, load: undefined });
    expect(statuses).toEqual([200]);
  });
});

describe('a request that its targets do not serve', () => {
  it.each([
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

  // Guards against a promise that a request has not run which has, so that it is sent again (REFUSED).
  it.each([408, 421, 429, 503])(
    'is answered 502 if it runs once at most and a target that ran it answers %i',
    (status) => {
      const failed = { ...SERVED, status };
      const once = forwardRequest({ ...ROUTE, isIdempotent: false }, DAEMONS, repeat(100, failed));
      expect([once.sentTo.length, once.status]).toEqual([1, 502]);
      // A request that may be repeated has a second chance, and gets the target's answer otherwise.
      const safe = forwardRequest(ROUTE, DAEMONS, repeat(100, failed));
      expect([safe.sentTo.length, safe.status]).toEqual([2, status]);
      expect(forwardRequest(ROUTE, DAEMONS, [failed, SERVED]).status).toBe(200);
    },
  );

  it('is sent to further homes only while no target has received it', () => {
    const outcomes = [FULL, FULL, ...repeat(100, SHED_BY_TARGET)];
    const { sentTo, status } = forwardRequest(ROUTE, DAEMONS, outcomes);
    expect(new Set(sentTo).size).toBe(2 + ROUTE.maxTargets);
    expect(sentTo.length).toBeLessThanOrEqual(2 + MAX_ARRIVALS);
    expect(status).toBe(503);
    const once = forwardRequest({ ...ROUTE, isIdempotent: false }, DAEMONS, outcomes);
    expect(once.sentTo).toHaveLength(2 + ROUTE.maxTargets);
    expect(once.status).toBe(503);
  });

  it.each(DAEMONS.map((_, index) => index + 1))(
    'is offered again to no more than two targets that turn it away, of %i',
    (targetCount) => {
      const daemonIds = DAEMONS.slice(0, targetCount);
      const { sentTo, status } = forwardRequest(ROUTE, daemonIds, repeat(100, SHED_BY_TARGET));
      expect(new Set(sentTo).size).toBe(Math.min(targetCount, ROUTE.maxTargets));
      expect(sentTo).toHaveLength(MAX_ARRIVALS);
      expect(status).toBe(503);
    },
  );

  it('reaches no third target when a home has no room for it any more', () => {
    const outcomes = [SHED_BY_TARGET, SHED_BY_TARGET, FULL, FULL];
    const { sentTo, status } = forwardRequest(ROUTE, DAEMONS, outcomes);
    expect(new Set(sentTo).size).toBe(ROUTE.maxTargets);
    expect(status).toBe(503);
  });

  it('is served by a target that turned it away before', () => {
    const outcomes = repeat(5, SHED_BY_TARGET);
    const { sentTo, status } = forwardRequest(ROUTE, DAEMONS, outcomes);
    expect(sentTo).toHaveLength(6);
    expect(status).toBe(200);
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
