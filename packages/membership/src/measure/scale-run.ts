import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { runFleet } from './fleet-process';
import type { FleetPorts, ScalePlan } from './scale-plan';
import type { ScaleReport } from './scale-report';
import { runSubject } from './subject-process';

/** Processes of a measurement: `subject` is the measured daemon, `fleet` simulates all others. */
export type ScaleRole = 'fleet' | 'subject';

/** Options of one of the processes; passed to it as JSON. */
export interface ScaleProcessOptions {
  readonly role: ScaleRole;
  readonly plan: ScalePlan;
  /** Ports of the fleet process; only for the subject. */
  readonly fleet?: FleetPorts;
}

/** Starts a process that calls `runScaleProcess` with the options; its stdout must be a pipe. */
export type StartScaleProcess = (options: ScaleProcessOptions) => ChildProcess;

/** Main function of both processes: writes the result to standard output as one line of JSON. */
export async function runScaleProcess({ role, plan, fleet }: ScaleProcessOptions): Promise<void> {
  if (role === 'fleet') {
    process.stdout.write(`${JSON.stringify(await runFleet(plan))}\n`);
    return;
  }
  const ports = fleet ?? { gossipPort: 0, peerPort: 0 };
  process.stdout.write(`${JSON.stringify(await runSubject(plan, ports))}\n`);
  process.exit(0);
}

async function firstLine(child: ChildProcess): Promise<string> {
  if (child.stdout === null) return '{}';
  const lines = createInterface({ input: child.stdout });
  const [line] = (await once(lines, 'line')) as [string];
  return line;
}

/** Measures one daemon among `plan.members` members, which a second process simulates. */
export async function measureScale(
  plan: ScalePlan,
  start: StartScaleProcess,
): Promise<ScaleReport> {
  const fleet = start({ role: 'fleet', plan });
  try {
    const ports = JSON.parse(await firstLine(fleet)) as FleetPorts;
    const subject = start({ role: 'subject', plan, fleet: ports });
    return JSON.parse(await firstLine(subject)) as ScaleReport;
  } finally {
    fleet.kill();
  }
}
