import type { Scenario } from './scenario';

const DEMO_CALM_MS = 6_000;
const DEMO_SURGE_ENDS_MS = 12_000;

/** The surge of the demonstration: short enough to end well under a minute. */
export const demoScenario: Scenario = {
  name: 'demo',
  summary: 'normal demand with a surge in the middle, on one instance of each service',
  instancesPerService: 1,
  durationMs: 20_000,
  demand: [{ fromMs: DEMO_CALM_MS, toMs: DEMO_SURGE_ENDS_MS, multiplier: 3 }],
  judged: { fromMs: DEMO_CALM_MS, toMs: DEMO_SURGE_ENDS_MS, speedFactor: 1 },
  causeEndsMs: DEMO_SURGE_ENDS_MS,
  faults: () => [],
};

/** A few seconds of normal demand, for checking that the whole path works. */
export const smokeScenario: Scenario = {
  name: 'smoke',
  summary: 'three seconds of normal demand on one instance of each service',
  instancesPerService: 1,
  durationMs: 3_000,
  demand: [],
  judged: { fromMs: 1_000, toMs: 3_000, speedFactor: 1 },
  causeEndsMs: 1_000,
  faults: () => [],
};
