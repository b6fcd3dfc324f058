import { CallTrees } from '@daisyferry/mesh/call-trees';
import { NestedCallEstimator } from '@daisyferry/mesh/nested-call-estimator';
import { RunCalls } from '@daisyferry/mesh/run-calls';
import { RunNeeds } from '@daisyferry/mesh/run-needs';
import { ToldNeeds } from '@daisyferry/mesh/told-needs';
import { expect, it } from 'vitest';

/** More routes than anything remembers, as configurations add and remove them. */
const EARLIER_ROUTES = Array.from({ length: 600 }, (_, index) => `earlier-${index}`);

function callsOn(route: string, count: number): RunCalls {
  const calls = new RunCalls();
  for (let call = 0; call < count; call += 1) calls.record(route, 'below');
  return calls;
}

// Guards against a process that learns nothing of the routes that come after it has known many.
it('what a run needs is learnt of a new route, after many others have been in use', () => {
  const needs = new RunNeeds();
  for (const route of EARLIER_ROUTES) needs.recordRun(route, callsOn('a', 1));
  needs.recordRun('new', callsOn('b', 4));
  expect(needs.callsOf('new')).toEqual([{ route: 'b', service: 'below', calls: 4 }]);
});

it('what a run needs is learnt of a new called route, after many others have been called', () => {
  const needs = new RunNeeds();
  for (const called of EARLIER_ROUTES) needs.recordRun('r', callsOn(called, 1));
  for (let run = 0; run < 1_000; run += 1) needs.recordRun('r', callsOn('new', 4));
  const calls = needs.callsOf('r') ?? [];
  expect(calls.find(({ route }) => route === 'new')?.calls).toBeCloseTo(4);
  expect(calls.length).toBeLessThan(17);
});

it('what homes tell is learnt of a new route, after many others were told of', () => {
  const told = new ToldNeeds();
  for (const route of EARLIER_ROUTES) told.record(route, [{ service: 'below', calls: 1 }], 0);
  told.record('new', [{ service: 'below', calls: 4 }], 1);
  expect(told.needsOf('new', 1)).toMatchObject([{ service: 'below' }]);
  expect(told.needsOf('earlier-0', 1)).toEqual([]);
});

it('calls on a new route are observed, after the target has called many others', () => {
  const estimator = new NestedCallEstimator();
  let nowMs = 0;
  const play = (called: string, runs: number) => {
    for (let run = 0; run < runs; run += 1) {
      estimator.recordStart('r', nowMs);
      for (let call = 0; call < 3; call += 1) {
        nowMs += 10;
        estimator.recordCall(called, 'below', nowMs);
      }
      nowMs += 10;
      estimator.recordEnd('r', 40, false, nowMs);
      nowMs += 20;
    }
  };
  for (const called of EARLIER_ROUTES.slice(0, 40)) play(called, 2);
  play('new', 2_000);
  const found = estimator.callsOf('r', nowMs)?.find(({ route }) => route === 'new');
  expect(found?.calls).toBeGreaterThan(2);
});

it('a home reports the needs of a new route, and counts its repeats, after many others', () => {
  const trees = new CallTrees(() => 1);
  trees.recordAttributedCall();
  const run = (route: string, nowMs: number) => {
    trees.recordRunStart(route, 1, nowMs);
    const calls = callsOn('nested', 2);
    trees.recordRunEnd({ route, durationMs: 10, calls, isAnswered: true }, nowMs);
    return trees.needsForReply(route, nowMs);
  };
  for (const route of EARLIER_ROUTES) run(route, 0);
  expect(run('new', 10_000)).toMatchObject([{ service: 'below', calls: 2 }]);
  expect(trees.repeatShareOfCalls('nested', 10_000)).toBeCloseTo(1);
});
