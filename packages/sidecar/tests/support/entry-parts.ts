import { CallTrees } from '@daisyferry/mesh/call-trees';
import { ClassInversions } from '@daisyferry/mesh/class-inversions';
import { CrashSuspects } from '@daisyferry/mesh/crash-suspects';
import { DestinationSelector } from '@daisyferry/mesh/destination-selector';
import { DownstreamShedLevels } from '@daisyferry/mesh/downstream-shed-levels';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { RetryAfterPlan } from '@daisyferry/mesh/retry-after-plan';
import type { RetryBounds } from '@daisyferry/mesh/retry-bounds';
import { RouteFailureGate } from '@daisyferry/mesh/route-failure-gate';
import { TargetChooser } from '@daisyferry/mesh/target-chooser';
import { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import { TreeAdmission } from '@daisyferry/mesh/tree-admission';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import type { SidecarEntryParts } from '@daisyferry/sidecar/entry';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import { RetryBudget } from '@daisyferry/sidecar/retry-budget';
import { SidecarMetrics } from '@daisyferry/sidecar/sidecar-metrics';

export interface EntryPartsOptions {
  readonly bounds: RetryBounds;
  /** A random number that never changes, 0 to 1. */
  readonly random: number;
}

/** The parts of an entry whose directory has these daemons, each with a target of service `s`. */
export function buildEntryParts(
  daemonIds: readonly string[],
  { bounds, random: randomNumber }: EntryPartsOptions,
  overrides: Partial<SidecarEntryParts>,
): SidecarEntryParts {
  const directory = new FleetDirectory();
  for (const daemonId of daemonIds) {
    const target = { targetId: daemonId, service: 's', slots: 10, isServing: true, coldMs: 0 };
    const record = {
      daemonId,
      incarnation: 1,
      revision: 1,
      address: new SocketAddress('10.0.0.1', 1),
      zone: 'z',
      target,
    };
    directory.applyRecord({ ...record, isLeaving: false }, 'stored', 0);
  }
  const random = () => randomNumber;
  const targetNotices = new TargetNoticeTable();
  return {
    routes: () => undefined,
    destinations: new DestinationSelector(0),
    chooser: new TargetChooser(
      directory,
      { ownZone: 'z', maxCandidates: 12, notices: targetNotices },
      random,
    ),
    targetNotices,
    suspects: new CrashSuspects(),
    downstreamLevels: new DownstreamShedLevels(),
    random,
    failureGate: new RouteFailureGate(random),
    callTrees: new CallTrees(() => 1),
    classInversions: new ClassInversions(),
    treeAdmission: new TreeAdmission({
      bounds: () => bounds,
      fleetSize: () => 1,
      onChange: () => undefined,
    }),
    retryBudget: new RetryBudget(
      () => bounds,
      () => 1,
    ),
    originOf: () => undefined,
    returnPlan: new RetryAfterPlan(random),
    transport: { send: () => ({ cancel: () => undefined }) },
    headerNames: {} as SidecarEntryParts['headerNames'],
    callerService: 'caller',
    attemptKeyPrefix: 'm/1/',
    log: { decision: () => undefined } as unknown as EventLog,
    metrics: new SidecarMetrics(),
    clock: () => 0,
    ...overrides,
  };
}
