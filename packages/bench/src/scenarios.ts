import type { Deployment } from './deployment';
import type { Fault } from './fault';
import { instancesOf } from './instance';
import type { DemandSpan } from './load-plan';
import type { EvaluationSpan, Scenario } from './scenario';
import { smokeScenario } from './small-scenarios';

const NORMAL_LOAD_MS = 10_000;
const DISTURBANCE_MS = 10_000;
const RECOVERY_MS = 12_000;
const DISTURBANCE_ENDS_MS = NORMAL_LOAD_MS + DISTURBANCE_MS;
const DURATION_MS = DISTURBANCE_ENDS_MS + RECOVERY_MS;
const SURGE_MULTIPLIER = 3;
const HALF_SPEED_FACTOR = 0.5;
const DAEMON_PAUSE_MS = 5_000;

const SURGE_DEMAND: readonly DemandSpan[] = [
  { fromMs: NORMAL_LOAD_MS, toMs: DISTURBANCE_ENDS_MS, multiplier: SURGE_MULTIPLIER },
];
const DISTURBANCE_SPAN: EvaluationSpan = {
  fromMs: NORMAL_LOAD_MS,
  toMs: DISTURBANCE_ENDS_MS,
  speedFactor: 1,
};
const HALF_SPEED_SPAN: EvaluationSpan = { ...DISTURBANCE_SPAN, speedFactor: HALF_SPEED_FACTOR };

const DISTURBANCE_TIMING = {
  durationMs: DURATION_MS,
  evaluationSpan: DISTURBANCE_SPAN,
  disturbanceEndsMs: DISTURBANCE_ENDS_MS,
};

function halfSpeedFaults(service: string): readonly Fault[] {
  return [
    { kind: 'slow', atMs: NORMAL_LOAD_MS, service, speedFactor: HALF_SPEED_FACTOR },
    { kind: 'slow', atMs: DISTURBANCE_ENDS_MS, service, speedFactor: 1 },
  ];
}

function instanceName(deployment: Deployment, service: string, instanceIndex: number): string {
  const plan = deployment.services.find(({ name }) => name === service);
  const instance = plan === undefined ? undefined : instancesOf(deployment, plan)[instanceIndex];
  return instance?.name ?? '';
}

function firstServiceName(deployment: Deployment): string {
  return deployment.services[0]?.name ?? '';
}

function moneyServiceName(deployment: Deployment): string {
  const moneyKind = deployment.requests.find((kind) => kind.class === 'money');
  return moneyKind?.call.service ?? firstServiceName(deployment);
}

function combinedFaults(deployment: Deployment): readonly Fault[] {
  const slowestName = deployment.slowestService;
  const killedDaemon = instanceName(deployment, moneyServiceName(deployment), 0);
  const killedTarget = instanceName(deployment, slowestName, 1);
  const pausedDaemon = instanceName(deployment, slowestName, 2);
  return [
    ...halfSpeedFaults(slowestName),
    { kind: 'store', atMs: NORMAL_LOAD_MS, mode: 'down', delayMs: 0 },
    { kind: 'kill-daemon', atMs: NORMAL_LOAD_MS + 1_000, instance: killedDaemon },
    { kind: 'kill-target', atMs: NORMAL_LOAD_MS + 2_000, instance: killedTarget },
    { kind: 'pause-daemon', atMs: NORMAL_LOAD_MS + 3_000, instance: pausedDaemon },
    { kind: 'start-target', atMs: NORMAL_LOAD_MS + 4_000, instance: killedTarget },
    { kind: 'start-daemon', atMs: NORMAL_LOAD_MS + 5_000, instance: killedDaemon },
    {
      kind: 'resume-daemon',
      atMs: NORMAL_LOAD_MS + 3_000 + DAEMON_PAUSE_MS,
      instance: pausedDaemon,
    },
    { kind: 'store', atMs: DISTURBANCE_ENDS_MS, mode: 'ok', delayMs: 0 },
  ];
}

function rollingReplaceFaults(deployment: Deployment): readonly Fault[] {
  const slowestService = deployment.services.find(({ name }) => name === deployment.slowestService);
  const instances = slowestService === undefined ? [] : instancesOf(deployment, slowestService);
  return instances.map(({ name }, index) => ({
    kind: 'replace',
    atMs: NORMAL_LOAD_MS + index * 5_000,
    instance: name,
  }));
}

function policyChangeFaults(deployment: Deployment): readonly Fault[] {
  const changes: Fault[] = deployment.services.flatMap(({ name }, index) =>
    [0, 1, 2].map((round) => ({
      kind: 'policy-change' as const,
      atMs: NORMAL_LOAD_MS + round * 3_000 + index * 500,
      service: name,
    })),
  );
  return [
    ...changes,
    { kind: 'store', atMs: NORMAL_LOAD_MS + 4_000, mode: 'loseAnswers', delayMs: 0 },
    { kind: 'store', atMs: NORMAL_LOAD_MS + 5_500, mode: 'ok', delayMs: 0 },
  ];
}

/** The scenarios that load a whole deployment, with the baseline measured in the same run. */
export const LOAD_SCENARIOS: readonly Scenario[] = [
  {
    name: 'steady',
    summary: 'normal demand without faults',
    demand: [],
    durationMs: 20_000,
    evaluationSpan: { fromMs: 5_000, toMs: 20_000, speedFactor: 1 },
    disturbanceEndsMs: 5_000,
    faults: () => [],
  },
  {
    ...DISTURBANCE_TIMING,
    name: 'surge',
    summary: 'three times the demand for 10 s',
    demand: SURGE_DEMAND,
    faults: () => [],
  },
  {
    ...DISTURBANCE_TIMING,
    name: 'slow-deep',
    summary: 'the slowest service at half speed for 10 s',
    evaluationSpan: HALF_SPEED_SPAN,
    demand: [],
    faults: (deployment) => halfSpeedFaults(deployment.slowestService),
  },
  {
    ...DISTURBANCE_TIMING,
    name: 'surge-slow',
    summary: 'three times the demand at half speed for 10 s',
    evaluationSpan: HALF_SPEED_SPAN,
    demand: SURGE_DEMAND,
    faults: (deployment) => halfSpeedFaults(deployment.slowestService),
  },
  {
    ...DISTURBANCE_TIMING,
    name: 'surge-slow-faults',
    summary: 'surge at half speed, a daemon and a target killed, one paused 5 s, store down',
    evaluationSpan: HALF_SPEED_SPAN,
    demand: SURGE_DEMAND,
    faults: combinedFaults,
  },
  {
    ...DISTURBANCE_TIMING,
    name: 'drain',
    summary: 'one target of the slowest and one of the first service leave and are replaced',
    demand: [],
    faults: (deployment) => [
      {
        kind: 'replace',
        atMs: NORMAL_LOAD_MS,
        instance: instanceName(deployment, deployment.slowestService, 0),
      },
      {
        kind: 'replace',
        atMs: NORMAL_LOAD_MS + 2_000,
        instance: instanceName(deployment, firstServiceName(deployment), 1),
      },
    ],
  },
  {
    ...DISTURBANCE_TIMING,
    name: 'rolling-replace',
    summary: 'every instance of the slowest service is replaced in turn',
    demand: [],
    durationMs: NORMAL_LOAD_MS + 28_000,
    evaluationSpan: { fromMs: NORMAL_LOAD_MS, toMs: NORMAL_LOAD_MS + 20_000, speedFactor: 1 },
    disturbanceEndsMs: NORMAL_LOAD_MS + 20_000,
    faults: rollingReplaceFaults,
  },
  {
    ...DISTURBANCE_TIMING,
    name: 'policy-change',
    summary: 'policies of all services change under load while responses of the store are lost',
    demand: [],
    faults: policyChangeFaults,
  },
  smokeScenario,
];

export function loadScenario(name: string): Scenario | undefined {
  return LOAD_SCENARIOS.find((scenario) => scenario.name === name);
}
