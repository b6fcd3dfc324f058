import type { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { ConnectionLimits } from '@daisyferry/mesh/connection-limits';
import type { CrashSuspects } from '@daisyferry/mesh/crash-suspects';
import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { LearntCapacity } from '@daisyferry/mesh/learnt-capacity';
import type { MemoryReclaim } from '@daisyferry/mesh/memory-reclaim';
import type { RefusedShare } from '@daisyferry/mesh/refused-share';
import type { RetryAfterPlan } from '@daisyferry/mesh/retry-after-plan';
import type { TargetSlotQueue } from '@daisyferry/mesh/target-slot-queue';
import type { TreeAdmission } from '@daisyferry/mesh/tree-admission';
import type { ConfigurationHolder } from './configuration-holder';
import type { CallerListener } from './caller-listener';
import type { ControlListener } from './control-listener';
import type { FreshnessKeeper } from './freshness-keeper';
import type { Home } from './home';
import type { LocalTargetNotices } from './local-target-notices';
import type { PeerConnections } from './peer-connections';
import type { SidecarMetrics } from './sidecar-metrics';
import type { TargetConnectionPool } from './target-connection-pool';
import type { PipelineCounts } from './pipeline-counts';
import type { UnreadableEntries } from './unreadable-entries';

export interface GaugeSources {
  readonly queue: TargetSlotQueue;
  readonly home: Home;
  readonly refusedShare: RefusedShare;
  readonly treeAdmission: TreeAdmission;
  readonly capacity: LearntCapacity;
  readonly suspects: CrashSuspects;
  readonly pool: TargetConnectionPool;
  readonly notices: LocalTargetNotices;
  readonly bufferBudget: BufferBudget;
  readonly reclaim: MemoryReclaim;
  readonly limits: ConnectionLimits;
  readonly returnPlan: RetryAfterPlan;
  readonly pipelineCounts: PipelineCounts;
  readonly peerConnections: PeerConnections;
  readonly directory: FleetDirectory;
  readonly configuration: ConfigurationHolder;
  readonly freshnessKeeper: FreshnessKeeper;
  readonly callers: CallerListener;
  readonly controlListeners: readonly ControlListener[];
  readonly unreadableEntries: UnreadableEntries;
  readonly clock: () => number;
}

/** The gauges of one daemon by their names; each is read when the metrics are fetched. */
export function addGauges(metrics: SidecarMetrics, sources: GaugeSources): void {
  const { queue, home, capacity, pool, returnPlan, pipelineCounts, configuration, clock } = sources;
  const { refusedShare, treeAdmission, suspects, notices, bufferBudget, reclaim } = sources;
  const { peerConnections, directory, freshnessKeeper, callers, unreadableEntries, limits } =
    sources;
  const gauges: Readonly<Record<string, () => number>> = {
    daisyferry_target_running: () => queue.running,
    daisyferry_shed_level: () => home.effectiveShedLevel(clock()),
    daisyferry_target_waiting: () => queue.waitingCount,
    daisyferry_target_refused_share: () => refusedShare.share(clock()),
    daisyferry_admitted_share: () => treeAdmission.leastAdmittedShare,
    daisyferry_target_limit: () => capacity.limit,
    daisyferry_target_slowdown: () => capacity.pace.slowdown(clock()),
    daisyferry_requests_blocked: () => suspects.blockedCount,
    daisyferry_target_crashes: () => home.crashCount,
    daisyferry_target_requests_sent: () => pool.sentCount,
    daisyferry_target_rate_limit: () => notices.notice?.ratePerS ?? Number.POSITIVE_INFINITY,
    daisyferry_target_connections_opened: () => pool.openedCount,
    daisyferry_buffered_bytes: () => bufferBudget.usedBytes,
    daisyferry_buffer_capacity_bytes: () => bufferBudget.capacityBytes,
    daisyferry_buffer_refusals: () => bufferBudget.refusedCount,
    daisyferry_buffer_holders_reclaimed: () => reclaim.reclaimedCount,
    daisyferry_returns_told: () => returnPlan.toldCount,
    daisyferry_returns_told_without_room: () => returnPlan.toldWithoutRoomCount,
    daisyferry_pipeline_started_ahead: () => pipelineCounts.startedAhead,
    daisyferry_pipeline_waited_ms: () => pipelineCounts.waitedMs,
    daisyferry_pipeline_held_bytes: () => pipelineCounts.heldBytes,
    daisyferry_pipeline_held_ms: () => pipelineCounts.heldMs,
    daisyferry_pipeline_dropped: () => pipelineCounts.droppedBehindClose,
    daisyferry_pipeline_unframed_replaced: () => pipelineCounts.replacedUnframed,
    daisyferry_peers_connected: () => peerConnections.connectedCount,
    daisyferry_store_entries_unreadable: () => unreadableEntries.count,
    daisyferry_daemons_known: () => directory.size,
    daisyferry_configuration_version: () => configuration.version,
    daisyferry_configuration_age_ms: () => Math.round(freshnessKeeper.ageMs()),
    daisyferry_configuration_problems: () => configuration.problemCount,
    daisyferry_caller_connections: () => callers.connectionCount,
    daisyferry_caller_connections_limit: () => limits.callers,
    daisyferry_caller_connections_closed_for_limit: () => callers.closedForLimitCount,
    daisyferry_control_connections_closed_for_limit: () =>
      sources.controlListeners.reduce((sum, listener) => sum + listener.closedForLimitCount, 0),
    daisyferry_peer_connections_closed_for_limit: () => peerConnections.closedForLimitCount,
  };
  for (const [name, read] of Object.entries(gauges)) metrics.addGauge(name, read);
}
