// Measures what learning the capacity of a target costs each call, by the calls in progress.
// Usage: node --import tsx scripts/measure-learnt-capacity.mjs
import { LearntCapacity } from '@daisyferry/mesh/learnt-capacity';
import { RefusedShare } from '@daisyferry/mesh/refused-share';

const RUNNING_COUNTS = [10, 50, 200];
const CALLS = 400_000;
const ROUTES = Array.from({ length: 6 }, (_, index) => `route-${index}`);
const CALL_MS = 40;
const SWEEP_MS = 25;
const NS_PER_US = 1_000;

function measureUsPerCall(running) {
  const capacity = new LearntCapacity();
  capacity.setSlots(running);
  const refused = new RefusedShare();
  const inProgress = [];
  const intervalMs = CALL_MS / running;
  let nextSweepMs = 0;
  const startNs = process.hrtime.bigint();
  for (let count = 0; count < CALLS; count += 1) {
    const nowMs = count * intervalMs;
    inProgress.push(capacity.pace.start(ROUTES[count % ROUTES.length], nowMs));
    if (inProgress.length > running) {
      const ended = inProgress.shift();
      capacity.pace.end(ended, true, nowMs);
      refused.record(false, nowMs);
      refused.share(nowMs);
      capacity.pace.routeMs(ended.route, nowMs);
    }
    if (nowMs >= nextSweepMs) {
      nextSweepMs = nowMs + SWEEP_MS;
      capacity.update({ running, waiting: 1, nested: 0, isRateLimited: false }, nowMs);
    }
  }
  const elapsedUs = Number(process.hrtime.bigint() - startNs) / NS_PER_US;
  return elapsedUs / CALLS;
}

// The first run includes the compilation.
measureUsPerCall(RUNNING_COUNTS[0]);
for (const running of RUNNING_COUNTS) {
  const row = { running, usPerCall: measureUsPerCall(running).toFixed(2) };
  process.stdout.write(`${JSON.stringify(row)}\n`);
}
