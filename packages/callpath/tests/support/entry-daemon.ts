import { ThresholdBook } from '@daisyferry/admission/threshold-book';
import { CallEntry } from '@daisyferry/callpath/call-entry';
import { RootBook } from '@daisyferry/callpath/root-book';
import { TicketIssuer } from '@daisyferry/callpath/ticket-issuer';
import { mintTicket } from '@daisyferry/execution/ticket';
import { TicketCodec } from '@daisyferry/execution/ticket-codec';
import type { TimelineSink } from '@daisyferry/model/timeline-event';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { PurseBook } from '@daisyferry/retries/purse-book';
import { RetryShare } from '@daisyferry/retries/retry-share';
import { TargetPicker } from '@daisyferry/routing/target-picker';
import type { FakeDirectory } from './fake-directory';
import type { FakeNetwork } from './fake-network';
import type { FakePolicies } from './fake-policies';
import { FakeProcess } from './fake-process';

const MAX_KEPT_ROOTS = 100;

export interface EntryDaemonParts {
  readonly base: VirtualScheduler;
  readonly network: FakeNetwork;
  readonly directory: FakeDirectory;
  readonly policies: FakePolicies;
  readonly timeline: TimelineSink;
  readonly newId: () => string;
}

/** An entry daemon made of the real parts. */
export class EntryDaemon {
  readonly process: FakeProcess;

  readonly entry: CallEntry;

  private readonly picker: TargetPicker;

  constructor(
    readonly name: string,
    parts: EntryDaemonParts,
  ) {
    const { base, network, directory, policies, timeline, newId } = parts;
    this.process = new FakeProcess(name, base);
    const scheduler = this.process;
    const self = { name, incarnation: '0'.repeat(16) };
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
    const share = new RetryShare();
    this.entry = new CallEntry({
      policies,
      directory,
      codec,
      issuer: new TicketIssuer({ self, policies, picker, codec, scheduler, newId }),
      picker,
      homes: network.clientOf(this.process),
      thresholds: new ThresholdBook(),
      self,
      roots: new RootBook(new PurseBook(), MAX_KEPT_ROOTS),
      forwarder: { forward: async () => undefined },
      shareOf: () => share,
      scheduler,
      timeline,
      newId,
      mint: (member, call) =>
        mintTicket(member.id, call.policy.tickets.lifetimeMs, newId(), scheduler.nowMs()),
      onNestedThreshold: () => undefined,
    });
  }

  /** What this daemon still holds; empty when all calls have ended. */
  held(nowMs: number): readonly string[] {
    return this.picker
      .snapshot(nowMs)
      .filter(({ inFlight }) => inFlight !== 0)
      .map(({ name, inFlight }) => `${this.name} holds calls to ${name}: ${inFlight}`);
  }
}
