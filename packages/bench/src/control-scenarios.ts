import type { BenchContext, BenchOutcome } from './bench-context';
import { fleetTable } from './fleet-report';
import { FleetRun } from './fleet-run';
import { latencyTable, runLatencyScenario } from './latency-run';
import { runMembersScenario } from './members-run';

/**
 * A scenario that measures the control plane or the added latency instead of a deployment under
 * load.
 */
export interface ControlScenario {
  readonly name: string;
  readonly summary: string;
  run(context: BenchContext): Promise<BenchOutcome>;
}

async function measureLatency(context: BenchContext): Promise<BenchOutcome> {
  const report = await runLatencyScenario(context);
  return { report, table: latencyTable(report) };
}

async function measureFleet(context: BenchContext): Promise<BenchOutcome> {
  const report = await new FleetRun(context).runFleetScenario();
  return { report, table: fleetTable(report) };
}

async function measureMembers(context: BenchContext): Promise<BenchOutcome> {
  const report = await runMembersScenario(context);
  return { report, table: fleetTable(report) };
}

export const CONTROL_SCENARIOS: readonly ControlScenario[] = [
  {
    name: 'latency',
    summary: 'the same call direct and through two daemons, interleaved, at 60 and 600 calls/s',
    run: measureLatency,
  },
  {
    name: 'fleet',
    summary: '100 daemons without targets: 50 policy changes, then 20 daemons killed at once',
    run: measureFleet,
  },
  {
    name: 'members-18000',
    summary: 'one daemon among 18,000 members with 650 policies, churn and changes at real rate',
    run: measureMembers,
  },
];
