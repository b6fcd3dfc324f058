import { ThresholdTracker } from '@daisyferry/admission/threshold-tracker';
import { EntryCallHandler } from '@daisyferry/callpath/entry-call-handler';
import { RootRequestRegistry } from '@daisyferry/callpath/root-request-registry';
import type { RootForwarder } from '@daisyferry/callpath/root-forwarder';
import { TicketIssuer } from '@daisyferry/callpath/ticket-issuer';
import { mintTicket } from '@daisyferry/execution/ticket';
import { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { DaemonId } from '@daisyferry/model/member';
import type { TimelineSink } from '@daisyferry/model/timeline-event';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { RetryTokenTable } from '@daisyferry/retries/retry-token-table';
import { RetryRatioLimiter } from '@daisyferry/retries/retry-ratio-limiter';
import { TargetPicker } from '@daisyferry/routing/target-picker';
import type { FakeDirectory } from './fake-directory';
import type { FakeNetwork } from './fake-network';
import type { FakePolicies } from './fake-policies';
import { FakeProcess } from './fake-process';

export interface EntryDaemonParts {
  readonly virtualScheduler: VirtualScheduler;
  readonly network: FakeNetwork;
  readonly directory: FakeDirectory;
  readonly policies: FakePolicies;
  readonly timeline: TimelineSink;
  readonly newId: () => string;
  readonly forwarder: RootForwarder;
}

const MAX_ROOTS = 100;

/** An entry daemon made of the production classes. */
export class EntryDaemon {
  readonly process: FakeProcess;

  readonly handler: EntryCallHandler;

  private readonly picker: TargetPicker;

  private readonly roots = new RootRequestRegistry(new RetryTokenTable(), MAX_ROOTS);

  constructor(
    readonly id: DaemonId,
    parts: EntryDaemonParts,
  ) {
    const { virtualScheduler, network, directory, policies, timeline, newId, forwarder } = parts;
    const self = this.id;
    this.process = new FakeProcess(id.name, virtualScheduler);
    const scheduler = this.process;
    this.picker = new TargetPicker({
      self,
      dataCentre: 'quiapo',
      region: 'ncr',
      directory,
      random: () => 0,
      subsetSize: 12,
    });
    const { picker } = this;
    const codec = new TicketCodec(undefined);
    const limiter = new RetryRatioLimiter();
    this.handler = new EntryCallHandler({
      self,
      roots: this.roots,
      forwarder,
      policies,
      directory,
      codec,
      issuer: new TicketIssuer({ policies, picker, codec, scheduler, newId, self }),
      picker,
      homeClient: network.clientOf(this.process),
      thresholds: new ThresholdTracker(),
      retryLimiterOf: () => limiter,
      scheduler,
      timeline,
      newId,
      mint: (member, call) =>
        mintTicket(member.id, call.policy.tickets.lifetimeMs, newId(), scheduler.nowMs()),
      onNestedThreshold: () => undefined,
    });
  }

  /** Resources that this daemon still holds; empty when all calls have ended. */
  leakedResources(nowMs: number): readonly string[] {
    this.roots.sweep(nowMs);
    const calls = this.picker
      .snapshot(nowMs)
      .filter(({ inFlight }) => inFlight !== 0)
      .map(({ name, inFlight }) => `${this.id.name} holds calls to ${name}: ${inFlight}`);
    return this.roots.size === 0 ? calls : [...calls, `${this.id.name} holds roots`];
  }
}
