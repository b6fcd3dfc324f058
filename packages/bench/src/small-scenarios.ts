import type { Scenario } from './scenario';

const DEMO_SURGE_STARTS_MS = 6_000;
const DEMO_SURGE_ENDS_MS = 12_000;

/** The surge of the demonstration, which takes well under a minute. */
export const demoScenario: Scenario = {
  name: 'demo',
  summary: 'normal demand with a surge in the middle, on one instance of each service',
  instancesPerService: 1,
  durationMs: 20_000,
  demand: [{ fromMs: DEMO_SURGE_STARTS_MS, toMs: DEMO_SURGE_ENDS_MS, multiplier: 3 }],
  evaluationSpan: { fromMs: DEMO_SURGE_STARTS_MS, toMs: DEMO_SURGE_ENDS_MS, speedFactor: 1 },
  disturbanceEndsMs: DEMO_SURGE_ENDS_MS,
  faults: () => [],
};

/** Three seconds of normal demand, for an end-to-end check. */
export const smokeScenario: Scenario = {
  name: 'smoke',
  summary: 'three seconds of normal demand on one instance of each service',
  instancesPerService: 1,
  durationMs: 3_000,
  demand: [],
  evaluationSpan: { fromMs: 1_000, toMs: 3_000, speedFactor: 1 },
  disturbanceEndsMs: 1_000,
  faults: () => [],
};
