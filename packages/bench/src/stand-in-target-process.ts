import fastify, { type FastifyInstance } from 'fastify';
import { readFileSync } from 'node:fs';
import { Agent } from 'undici';
import { Announcer } from './announcer';
import { NestedCaller } from './nested-caller';
import { wallClockScheduler } from './wall-clock-scheduler';
import { seededRandom, streamSeed } from './random';
import { RecordWriter } from './record-writer';
import { ServiceTimeSampler } from './service-time-sampler';
import { StandInTarget } from './stand-in-target';
import type { SpeedChange, StandInTargetPlan, TargetProcessPlan } from './stand-in-target-plan';

const LOOPBACK = '127.0.0.1';

function boundPort(server: FastifyInstance): number {
  const address = server.server.address();
  return typeof address === 'object' && address !== null ? address.port : 0;
}

interface RunningTarget {
  readonly plan: StandInTargetPlan;
  readonly target: StandInTarget;
}

function createTarget(
  plan: StandInTargetPlan,
  processPlan: TargetProcessPlan,
  agent: Agent,
  records: RecordWriter,
): StandInTarget {
  const random = seededRandom(streamSeed(processPlan.seed, plan.name));
  return new StandInTarget(
    plan,
    String(process.pid),
    random,
    new ServiceTimeSampler(random, plan.slots),
    new NestedCaller(() => plan.daemonUrl, agent),
    records,
  );
}

function setSpeed(targets: readonly RunningTarget[], change: SpeedChange): void {
  for (const { plan, target } of targets) {
    if (plan.service === change.service) target.serviceTime.speedFactor = change.speedFactor;
  }
}

/** Entry point of a process of stand-in targets, which runs until SIGTERM. */
export async function runStandInTargets(planFile: string): Promise<void> {
  const processPlan = JSON.parse(readFileSync(planFile, 'utf8')) as TargetProcessPlan;
  const records = new RecordWriter(processPlan.recordsFile);
  const agent = new Agent({ connections: null, pipelining: 1 });
  const running: RunningTarget[] = [];
  const ports: Record<string, number> = {};
  for (const plan of processPlan.targets) {
    const target = createTarget(plan, processPlan, agent, records);
    await target.server.listen({ host: LOOPBACK, port: plan.port });
    const port = boundPort(target.server);
    ports[plan.name] = port;
    running.push({ plan, target });
    const { slots, connections } = plan;
    const announcement = { address: LOOPBACK, port, slots, connections };
    new Announcer(plan.daemonUrl, announcement, agent, wallClockScheduler).start();
  }
  const control = fastify();
  control.post<{ Body: SpeedChange }>('/speed', (request, reply) => {
    setSpeed(running, request.body);
    return reply.send({});
  });
  await control.listen({ host: LOOPBACK, port: 0 });
  const controlPort = boundPort(control);
  process.stdout.write(
    `${JSON.stringify({ listening: { control: controlPort, targets: ports } })}\n`,
  );
  process.on('SIGTERM', () => process.exit(0));
}
