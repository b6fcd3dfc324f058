import type { EntryRequest, EntryResponse } from '@daisyferry/callpath/entry-call';
import type { DaemonId, Member } from '@daisyferry/model/member';
import type { TimelineEvent, TimelineSink } from '@daisyferry/model/timeline-event';
import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import { EntryDaemon } from './entry-daemon';
import { FakeDirectory } from './fake-directory';
import { FakeNetwork } from './fake-network';
import { FakePolicies, SERVICE } from './fake-policies';
import type { Execution } from './fake-target';
import { HomeDaemon } from './home-daemon';

export type EmittedEvent = Parameters<TimelineSink['emit']>[0];

const ID_DIGITS = 32;
const START_MS = 1_000_000;

function memberOf(id: DaemonId, targetState: Member['targetState']): Member {
  return {
    id,
    service: SERVICE,
    dataCentre: 'quiapo',
    region: 'ncr',
    address: '127.0.0.1',
    peerPort: 1,
    gossipPort: 1,
    slots: 1,
    connections: 10,
    targetState,
    version: 1,
  };
}

function eventText(event: EmittedEvent): string {
  const { kind, root = '', call = '', detail = '', durationMs } = event;
  const duration = durationMs === undefined ? '' : `${durationMs.toFixed(1)} ms`;
  return [kind, root, call, detail, duration].filter((part) => part !== '').join(' ');
}

/** Two entry daemons of the service `front` and two home daemons of `SERVICE` in virtual time. */
export class SimulatedCluster {
  readonly scheduler = new VirtualScheduler(START_MS);

  readonly network = new FakeNetwork(this.scheduler);

  readonly policies = new FakePolicies();

  readonly directory = new FakeDirectory();

  /** Every incarnation of every home daemon, including killed ones. */
  readonly homeIncarnations: HomeDaemon[] = [];

  readonly entries: readonly EntryDaemon[];

  readonly events: { readonly atMs: number; readonly event: EmittedEvent }[] = [];

  /** Every message and event in order, as lines for golden files. */
  readonly lines: string[] = [];

  /** Called for each timeline event when it is emitted. */
  onEvent: (kind: TimelineEvent['kind'], root: string | undefined) => void = () => undefined;

  /** Called when a target starts an execution. */
  onStart: (execution: Execution) => void = () => undefined;

  private ids = 0;

  constructor() {
    this.network.onMessage = (text) => this.recordLine(text);
    for (const name of ['vault-1', 'vault-2']) this.startHome(name);
    this.entries = ['entry-1', 'entry-2'].map((name) => this.startEntry(name));
  }

  /** Records one message or event with its virtual time. */
  recordLine(text: string): void {
    const atMs = (this.scheduler.nowMs() - START_MS).toFixed(1).padStart(8);
    // Identifiers are zero-padded counters, so their last digits distinguish them.
    const shortened = text.replace(/0{8,}([0-9a-f]+)/g, '#$1');
    this.lines.push(`${atMs} ${shortened}`);
  }

  newId(): string {
    this.ids += 1;
    return this.ids.toString(16).padStart(ID_DIGITS, '0');
  }

  /** The current incarnation of a home daemon. */
  home(name: string): HomeDaemon {
    const home = this.homeIncarnations.findLast(({ id }) => id.name === name);
    if (home === undefined) throw new Error(`no home ${name}`);
    return home;
  }

  /** Starts a home daemon, with a new incarnation if it ran before. */
  startHome(name: string): void {
    const incarnation = (this.homeIncarnations.length + 1).toString(16).padStart(16, '0');
    const home = new HomeDaemon(
      { name, incarnation },
      this.scheduler,
      this.policies,
      this.timeline(name),
    );
    home.target.onStart = (execution) => {
      this.recordLine(`${name} target starts ${execution.className} ${execution.rootId}`);
      this.onStart(execution);
    };
    home.target.onEnd = (rootId, kind) => this.recordLine(`${name} target ends ${rootId}: ${kind}`);
    this.homeIncarnations.push(home);
    this.network.homes.set(name, { process: home.process, handler: home.handler });
    this.publish(home, 'serving');
  }

  publish(home: HomeDaemon, targetState: Member['targetState']): void {
    this.directory.setMember(memberOf(home.id, targetState));
  }

  /** Executions of a root request as recorded by the targets. */
  executionsOf(rootId: string): readonly Execution[] {
    return this.homeIncarnations
      .flatMap(({ target }) => target.executions)
      .filter((execution) => execution.rootId === rootId);
  }

  /** Root requests that the entries have received. */
  roots(): readonly string[] {
    const receivedEvents = this.events.filter(({ event }) => event.kind === 'call.received');
    return [...new Set(receivedEvents.map(({ event }) => event.root ?? ''))];
  }

  /** Number of attempts that entries have sent for a root request. */
  attemptsOf(rootId: string): number {
    const isSent = ({ event }: { event: EmittedEvent }): boolean =>
      event.kind === 'call.sent' && event.root === rootId;
    return this.events.filter(isSent).length;
  }

  /** Resources that running daemons still hold; empty when all calls have ended. */
  leakedResources(): readonly string[] {
    const nowMs = this.scheduler.nowMs();
    return [...this.homeIncarnations, ...this.entries]
      .filter(({ process }) => !process.isKilled)
      .flatMap((daemon) => daemon.leakedResources(nowMs));
  }

  async sleep(spanMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.scheduler.after(spanMs, resolve);
    });
  }

  private startEntry(name: string): EntryDaemon {
    const id = { name, incarnation: 'e'.repeat(16) };
    this.directory.setMember({ ...memberOf(id, 'serving'), service: 'front' });
    return new EntryDaemon(id, {
      virtualScheduler: this.scheduler,
      network: this.network,
      directory: this.directory,
      policies: this.policies,
      timeline: this.timeline(name),
      newId: () => this.newId(),
      forwarder: { forward: async (member, request) => this.forward(member, request) },
    });
  }

  /** Forwards a request to another entry. */
  private async forward(member: Member, request: EntryRequest): Promise<EntryResponse | undefined> {
    const entry = this.entries.find(({ id }) => id.name === member.id.name);
    if (entry === undefined || entry.process.isKilled) return undefined;
    return entry.handler.handle({ ...request, origin: { kind: 'forwarded' } });
  }

  private timeline(owner: string): TimelineSink {
    return {
      emit: (event) => {
        this.events.push({ atMs: this.scheduler.nowMs(), event });
        this.recordLine(`${owner} event ${eventText(event)}`);
        this.onEvent(event.kind, event.root);
      },
    };
  }
}
