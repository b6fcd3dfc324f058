import { AdmissionController } from '@daisyferry/admission/admission-controller';
import { DownstreamThresholds } from '@daisyferry/admission/downstream-thresholds';
import { ActiveCalls } from '@daisyferry/callpath/active-calls';
import { AdmissionGate } from '@daisyferry/callpath/admission-gate';
import { HomeCallHandler } from '@daisyferry/callpath/home-call-handler';
import { LocalTarget } from '@daisyferry/callpath/local-target';
import { ExecutionRecords } from '@daisyferry/execution/execution-records';
import type { DaemonId } from '@daisyferry/model/member';
import type { TimelineSink } from '@daisyferry/model/timeline-event';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import type { FakePolicies } from './fake-policies';
import { POLICY, SERVICE, TICKET_LIFETIME_MS } from './fake-policies';
import { FakeProcess } from './fake-process';
import { FakeTarget } from './fake-target';

const SLOTS = 1;
const HEARTBEAT_MS = 1_000_000;

/** One incarnation of a home daemon with its target, made of the production classes. */
export class HomeDaemon {
  readonly process: FakeProcess;

  readonly target: FakeTarget;

  readonly localTarget = new LocalTarget(HEARTBEAT_MS, () => undefined);

  readonly records: ExecutionRecords;

  readonly admission: AdmissionController;

  readonly gate: AdmissionGate;

  readonly activeCalls = new ActiveCalls();

  readonly downstream = new DownstreamThresholds();

  readonly handler: HomeCallHandler;

  constructor(
    readonly id: DaemonId,
    virtualScheduler: VirtualScheduler,
    policies: FakePolicies,
    timeline: TimelineSink,
  ) {
    this.process = new FakeProcess(id.name, virtualScheduler);
    const { process } = this;
    this.target = new FakeTarget(id.name, process, virtualScheduler);
    this.localTarget.announce({ address: '127.0.0.1', port: 1 }, virtualScheduler.nowMs());
    this.records = new ExecutionRecords({
      self: id,
      byteBudget: 1_000_000,
      maxLifetimeMs: TICKET_LIFETIME_MS,
      maxClockSkewMs: 1_000,
    });
    const options = { slots: SLOTS, limits: POLICY.limits, random: () => 0.5 };
    this.admission = new AdmissionController(options, virtualScheduler.nowMs());
    this.gate = new AdmissionGate(this.admission, process);
    this.handler = new HomeCallHandler({
      service: SERVICE,
      policies,
      records: this.records,
      admission: this.admission,
      gate: this.gate,
      downstream: this.downstream,
      activeCalls: this.activeCalls,
      target: this.localTarget,
      targetClient: this.target,
      scheduler: process,
      timeline,
    });
  }

  /** Resources that this daemon still holds; empty when all calls have ended. */
  leakedResources(nowMs: number): readonly string[] {
    this.records.sweep(nowMs);
    const { inFlight, queued } = this.admission.snapshot(nowMs);
    const counts = {
      slots: inFlight,
      queued,
      waiting: this.gate.waiting,
      activeCalls: this.activeCalls.size,
      records: this.records.stats().records,
    };
    return Object.entries(counts)
      .filter(([, count]) => count !== 0)
      .map(([name, count]) => `${this.id.name} holds ${name}: ${count}`);
  }
}
