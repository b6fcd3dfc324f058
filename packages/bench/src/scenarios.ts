import type { Deployment } from './deployment';
import type { Fault } from './fault';
import { instancesOf } from './instance';
import type { DemandSpan } from './load-plan';
import type { JudgedSpan, Scenario } from './scenario';
import { smokeScenario } from './small-scenarios';

const CALM_MS = 10_000;
const TROUBLE_MS = 10_000;
const AFTER_MS = 12_000;
const TROUBLE_ENDS_MS = CALM_MS + TROUBLE_MS;
const DURATION_MS = TROUBLE_ENDS_MS + AFTER_MS;
const SURGE_MULTIPLIER = 3;
const HALF_SPEED = 0.5;
const PAUSE_MS = 5_000;

const SURGE: readonly DemandSpan[] = [
  { fromMs: CALM_MS, toMs: TROUBLE_ENDS_MS, multiplier: SURGE_MULTIPLIER },
];
const TROUBLE: JudgedSpan = { fromMs: CALM_MS, toMs: TROUBLE_ENDS_MS, speedFactor: 1 };
const SLOW_TROUBLE: JudgedSpan = { ...TROUBLE, speedFactor: HALF_SPEED };

const TROUBLE_TIMES = {
  durationMs: DURATION_MS,
  judged: TROUBLE,
  causeEndsMs: TROUBLE_ENDS_MS,
};

function slowSpan(service: string): readonly Fault[] {
  return [
    { kind: 'slow', atMs: CALM_MS, service, speedFactor: HALF_SPEED },
    { kind: 'slow', atMs: TROUBLE_ENDS_MS, service, speedFactor: 1 },
  ];
}

function nameOf(deployment: Deployment, service: string, index: number): string {
  const plan = deployment.services.find(({ name }) => name === service);
  const instance = plan === undefined ? undefined : instancesOf(deployment, plan)[index];
  return instance?.name ?? '';
}

function firstService(deployment: Deployment): string {
  return deployment.services[0]?.name ?? '';
}

function moneyService(deployment: Deployment): string {
  const money = deployment.requests.find((kind) => kind.class === 'money');
  return money?.call.service ?? firstService(deployment);
}

function harshFaults(deployment: Deployment): readonly Fault[] {
  const slow = deployment.slowestService;
  const killedDaemon = nameOf(deployment, moneyService(deployment), 0);
  const killedTarget = nameOf(deployment, slow, 1);
  const paused = nameOf(deployment, slow, 2);
  return [
    ...slowSpan(slow),
    { kind: 'store', atMs: CALM_MS, mode: 'down', delayMs: 0 },
    { kind: 'kill-daemon', atMs: CALM_MS + 1_000, instance: killedDaemon },
    { kind: 'kill-target', atMs: CALM_MS + 2_000, instance: killedTarget },
    { kind: 'pause-daemon', atMs: CALM_MS + 3_000, instance: paused },
    { kind: 'start-target', atMs: CALM_MS + 4_000, instance: killedTarget },
    { kind: 'start-daemon', atMs: CALM_MS + 5_000, instance: killedDaemon },
    { kind: 'resume-daemon', atMs: CALM_MS + 3_000 + PAUSE_MS, instance: paused },
    { kind: 'store', atMs: TROUBLE_ENDS_MS, mode: 'ok', delayMs: 0 },
  ];
}

function rollingFaults(deployment: Deployment): readonly Fault[] {
  const slow = deployment.services.find(({ name }) => name === deployment.slowestService);
  const instances = slow === undefined ? [] : instancesOf(deployment, slow);
  return instances.map(({ name }, index) => ({
    kind: 'replace',
    atMs: CALM_MS + index * 5_000,
    instance: name,
  }));
}

function policyFaults(deployment: Deployment): readonly Fault[] {
  const changes: Fault[] = deployment.services.flatMap(({ name }, index) =>
    [0, 1, 2].map((round) => ({
      kind: 'policy-change' as const,
      atMs: CALM_MS + round * 3_000 + index * 500,
      service: name,
    })),
  );
  return [
    ...changes,
    { kind: 'store', atMs: CALM_MS + 4_000, mode: 'loseAnswers', delayMs: 0 },
    { kind: 'store', atMs: CALM_MS + 5_500, mode: 'ok', delayMs: 0 },
  ];
}

/** The scenarios that drive a whole deployment, with the baseline measured in the same run. */
export const LOAD_SCENARIOS: readonly Scenario[] = [
  {
    name: 'steady',
    summary: 'normal demand without faults',
    demand: [],
    durationMs: 20_000,
    judged: { fromMs: 5_000, toMs: 20_000, speedFactor: 1 },
    causeEndsMs: 5_000,
    faults: () => [],
  },
  {
    ...TROUBLE_TIMES,
    name: 'surge',
    summary: 'three times the demand for 10 s',
    demand: SURGE,
    faults: () => [],
  },
  {
    ...TROUBLE_TIMES,
    name: 'slow-deep',
    summary: 'the slowest service at half speed for 10 s',
    judged: SLOW_TROUBLE,
    demand: [],
    faults: (deployment) => slowSpan(deployment.slowestService),
  },
  {
    ...TROUBLE_TIMES,
    name: 'surge-slow',
    summary: 'three times the demand at half speed for 10 s',
    judged: SLOW_TROUBLE,
    demand: SURGE,
    faults: (deployment) => slowSpan(deployment.slowestService),
  },
  {
    ...TROUBLE_TIMES,
    name: 'surge-slow-faults',
    summary: 'surge at half speed, a daemon and a target killed, one paused 5 s, store down',
    judged: SLOW_TROUBLE,
    demand: SURGE,
    faults: harshFaults,
  },
  {
    ...TROUBLE_TIMES,
    name: 'drain',
    summary: 'one target of the slowest and one of the first service leave and are replaced',
    demand: [],
    faults: (deployment) => [
      {
        kind: 'replace',
        atMs: CALM_MS,
        instance: nameOf(deployment, deployment.slowestService, 0),
      },
      {
        kind: 'replace',
        atMs: CALM_MS + 2_000,
        instance: nameOf(deployment, firstService(deployment), 1),
      },
    ],
  },
  {
    ...TROUBLE_TIMES,
    name: 'rolling-replace',
    summary: 'every instance of the slowest service is replaced in turn',
    demand: [],
    durationMs: CALM_MS + 28_000,
    judged: { fromMs: CALM_MS, toMs: CALM_MS + 20_000, speedFactor: 1 },
    causeEndsMs: CALM_MS + 20_000,
    faults: rollingFaults,
  },
  {
    ...TROUBLE_TIMES,
    name: 'policy-change',
    summary: 'policies of all services change under load, answers of the store are lost',
    demand: [],
    faults: policyFaults,
  },
  smokeScenario,
];

export function loadScenario(name: string): Scenario | undefined {
  return LOAD_SCENARIOS.find((scenario) => scenario.name === name);
}
