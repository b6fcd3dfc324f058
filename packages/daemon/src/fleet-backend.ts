import type {
  DrainResult,
  ExplainedLimit,
  Explanation,
  FleetAdmin,
  FleetStatus,
  LaggingDaemon,
  DaemonTimelinePage,
} from '@daisyferry/admin-api/fleet-admin';
import type { LocalTarget } from '@daisyferry/callpath/local-target';
import type { DaemonId, MemberView } from '@daisyferry/model/member';
import { Reachability } from '@daisyferry/model/member';
import type { Scheduler } from '@daisyferry/model/scheduler';
import type { DaemonSettings } from '@daisyferry/settings/daemon-settings';
import type { TimelineRing } from '@daisyferry/telemetry/timeline-ring';
import type { CallPathParts } from './call-path-parts';
import type { ControlPlane } from './control-plane';
import type { DrainControl } from './drain-control';
import type { RecentRefusals, RefusedCall } from './recent-refusals';

export interface FleetBackendParts {
  readonly settings: DaemonSettings;
  readonly self: DaemonId;
  readonly control: ControlPlane;
  readonly callPath: CallPathParts;
  readonly target: LocalTarget;
  readonly drainControl: DrainControl;
  readonly refusals: RecentRefusals;
  readonly timeline: TimelineRing;
  readonly scheduler: Scheduler;
}

/** Explanations of refusal reasons for operators. */
const REASON_DETAILS: Readonly<Record<string, string>> = {
  shed: 'the priority of the root is not below the threshold of its home',
  'shed-downstream': 'the priority of the root is not below the threshold that homes publish',
  'queue-full': 'the queue of the home takes no more calls of this class',
  doomed: 'the remaining budget does not cover the expected service time',
  'ticket-required': 'the method is not idempotent and the call had no ticket',
};

/** Serves the administration API from the state of this daemon. */
export class FleetBackend implements FleetAdmin {
  constructor(private readonly parts: FleetBackendParts) {}

  members(service: string | undefined): readonly MemberView[] {
    const { membership } = this.parts.control;
    if (service !== undefined) return membership.directory.membersOf(service);
    const views: MemberView[] = [];
    for (const record of membership.table.allRecords()) {
      if (record.reachability !== Reachability.dead) views.push(record.view);
    }
    return views;
  }

  async drain(daemon: string | undefined, force: boolean): Promise<DrainResult> {
    return this.parts.drainControl.drain(daemon, force);
  }

  async status(comparedRevision: number | undefined): Promise<FleetStatus> {
    const { control, self, settings, target } = this.parts;
    const head = await control.policyStore.readHead();
    const headRevision = head.ok ? head.value.revision : undefined;
    const compared = comparedRevision ?? headRevision ?? control.policies.revision;
    const lagging = await this.lagging(compared);
    return {
      daemon: self.name,
      incarnation: self.incarnation,
      service: settings.service,
      appliedRevision: control.policies.revision,
      ...(headRevision === undefined ? {} : { headRevision }),
      ready: control.policies.ready,
      targetState: target.state,
      members: control.membership.table.liveCount,
      comparedRevision: compared,
      lagging,
      storeRegressions: control.reader.counters.regressions,
    };
  }

  explain(id: string | undefined, limit: number): Explanation {
    const { refusals } = this.parts;
    const calls = id === undefined ? refusals.latest(limit) : refusals.ofRoot(id).slice(-limit);
    return { refusals: calls.map((call) => this.explainRefusal(call)), limits: this.limits() };
  }

  readTimeline(afterSequence: number, limit: number): DaemonTimelinePage {
    const { timeline, self } = this.parts;
    const { events, lost } = timeline.read(afterSequence, limit);
    return { events, daemon: self.name, incarnation: self.incarnation, lost };
  }

  private async lagging(revision: number): Promise<readonly LaggingDaemon[]> {
    const { survey, membership } = this.parts.control;
    const result = await survey.surveyAll(revision);
    const serviceOf = (name: string): string =>
      membership.directory.memberNamed(name)?.member.service ?? '';
    const behind = result.lagging.map((daemon) => ({
      daemon: daemon.name,
      service: serviceOf(daemon.name),
      appliedRevision: daemon.revision,
    }));
    const unreachable = result.unreachable.map((name) => ({
      daemon: name,
      service: serviceOf(name),
    }));
    return [...behind, ...unreachable];
  }

  private explainRefusal(call: RefusedCall) {
    return {
      call: '',
      root: call.rootId,
      service: call.service,
      method: `${call.httpMethod} ${call.path}`,
      class: call.className,
      reason: call.reason,
      detail: REASON_DETAILS[call.reason] ?? call.outcome,
      wallMs: call.atMs,
    };
  }

  private limits(): readonly ExplainedLimit[] {
    const { admission, records } = this.parts.callPath;
    const snapshot = admission.snapshot(this.parts.scheduler.nowMs());
    const stats = records.stats();
    return [
      { name: 'limit', value: snapshot.limit, unit: 'calls', detail: `of ${snapshot.slots} slots` },
      { name: 'inFlight', value: snapshot.inFlight, unit: 'calls', detail: 'hold a slot' },
      { name: 'queued', value: snapshot.queued, unit: 'calls', detail: 'wait for a slot' },
      { name: 'threshold', value: snapshot.threshold, unit: 'rank', detail: '4 sheds nothing' },
      { name: 'backlog', value: snapshot.backlogMs, unit: 'ms', detail: 'to drain the queue' },
      { name: 'records', value: stats.bytes, unit: 'bytes', detail: `${stats.records} records` },
    ];
  }
}
