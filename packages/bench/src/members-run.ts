import type { ScaleProcessOptions } from '@daisyferry/membership/measure/scale-run';
import { scalePlan, type FleetPorts } from '@daisyferry/membership/measure/scale-plan';
import type { ScaleReport } from '@daisyferry/membership/measure/scale-report';
import type { BenchContext } from './bench-context';
import type { FleetReport } from './fleet-report';
import type { StartedProcess } from './started-process';

const MEMBER_COUNT = 18_000;
const POLICY_COUNT = 650;
const DURATION_MS = 60_000;

function startScaleProcess(
  { group, programs }: BenchContext,
  options: ScaleProcessOptions,
): StartedProcess {
  return group.start(options.role, programs.bench, ['scale-process', JSON.stringify(options)]);
}

/**
 * Measures the control plane of one daemon among 18,000 members, which a second process simulates
 * with the churn and the policy changes of a cluster of that size at their real rate.
 */
export async function runMembersScenario(context: BenchContext): Promise<FleetReport> {
  const plan = scalePlan(MEMBER_COUNT, POLICY_COUNT, DURATION_MS, context.seed);
  context.printProgress(
    `members-18000: ${DURATION_MS / 1_000} s of churn and changes at real rate`,
  );
  const fleetProcess = startScaleProcess(context, { role: 'fleet', plan });
  const fleet = await fleetProcess.firstLineWith<FleetPorts>('gossipPort');
  const measuredDaemonProcess = startScaleProcess(context, { role: 'subject', plan, fleet });
  const scale = await measuredDaemonProcess.firstLineWith<ScaleReport>('controlBytesPerSecond');
  const { controlBytesPerSecond, controlCpuRatio } = scale;
  return {
    scenario: 'members-18000',
    deployment: context.deployment.name,
    seed: context.seed,
    fleet: {
      daemons: 1,
      members: scale.members,
      changes: scale.policyChanges,
      changesAccepted: scale.policyChanges,
      propagationP50Ms: null,
      propagationP99Ms: null,
      propagationMaxMs: null,
      detectionMaxMs: null,
      detectionP50Ms: null,
      detectionMissing: 0,
      revertedRevisions: 0,
      storeReads: 0,
      storeWrites: 0,
      controlBytesPerSecond,
      controlCpuRatio,
      controlMemoryBytes: scale.controlMemoryBytes,
      spans: { churn: { controlBytesPerSecond, controlCpuRatio } },
    },
    scale,
  };
}
