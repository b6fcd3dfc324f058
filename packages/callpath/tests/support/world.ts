import type { EntryResponse, EntryRequest } from '@daisyferry/callpath/entry-call';
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

/** Two entry daemons and two home daemons of one service, on virtual time. */
export class World {
  readonly base = new VirtualScheduler(START_MS);

  readonly network = new FakeNetwork(this.base);

  readonly policies = new FakePolicies();

  readonly directory = new FakeDirectory();

  /** Every run of every home daemon, dead ones included. */
  readonly runs: HomeDaemon[] = [];

  readonly entries: readonly EntryDaemon[];

  readonly events: { readonly atMs: number; readonly event: EmittedEvent }[] = [];

  /** Every message and event in order, as lines for golden files. */
  readonly journal: string[] = [];

  /** Called for each time line event at the moment it happens. */
  onEvent: (kind: TimelineEvent['kind'], root: string | undefined) => void = () => undefined;

  /** Called when a target starts an execution. */
  onStart: (execution: Execution) => void = () => undefined;

  private ids = 0;

  constructor() {
    this.network.onMessage = (text) => this.note(text);
    for (const name of ['vault-1', 'vault-2']) this.startHome(name);
    this.entries = ['entry-1', 'entry-2'].map((name) => this.startEntry(name));
  }

  /** Notes one message or event with its virtual time. */
  note(text: string): void {
    const atMs = (this.base.nowMs() - START_MS).toFixed(1).padStart(8);
    // Identifiers are counters padded with zeros: their tails tell them apart.
    const short = text.replace(/0{8,}([0-9a-f]+)/g, '#$1');
    this.journal.push(`${atMs} ${short}`);
  }

  newId(): string {
    this.ids += 1;
    return this.ids.toString(16).padStart(ID_DIGITS, '0');
  }

  /** The present run of a home daemon. */
  home(name: string): HomeDaemon {
    const home = this.runs.findLast(({ id }) => id.name === name);
    if (home === undefined) throw new Error(`no home ${name}`);
    return home;
  }

  /** Starts a home daemon, with a new incarnation if it ran before. */
  startHome(name: string): void {
    const incarnation = (this.runs.length + 1).toString(16).padStart(16, '0');
    const home = new HomeDaemon(
      { name, incarnation },
      this.base,
      this.policies,
      this.timeline(name),
    );
    home.target.onStart = (execution) => {
      this.note(`${name} target starts ${execution.className} ${execution.rootId}`);
      this.onStart(execution);
    };
    home.target.onEnd = (rootId, kind) => this.note(`${name} target ends ${rootId}: ${kind}`);
    this.runs.push(home);
    this.network.homes.set(name, { process: home.process, home: home.home });
    this.publish(home, 'serving');
  }

  publish(home: HomeDaemon, targetState: Member['targetState']): void {
    this.directory.set(memberOf(home.id, targetState));
  }

  /** What the targets themselves know to have started for a root. */
  executionsOf(rootId: string): readonly Execution[] {
    return this.runs
      .flatMap(({ target }) => target.executions)
      .filter((execution) => execution.rootId === rootId);
  }

  /** Roots that the entries have taken in. */
  roots(): readonly string[] {
    const received = this.events.filter(({ event }) => event.kind === 'call.received');
    return [...new Set(received.map(({ event }) => event.root ?? ''))];
  }

  /** Attempts that entries have sent for a root. */
  attemptsOf(rootId: string): number {
    const isSent = ({ event }: { event: EmittedEvent }): boolean =>
      event.kind === 'call.sent' && event.root === rootId;
    return this.events.filter(isSent).length;
  }

  /** What living daemons still hold; empty when all calls have ended. */
  held(): readonly string[] {
    const nowMs = this.base.nowMs();
    return [...this.runs, ...this.entries]
      .filter(({ process }) => !process.isKilled)
      .flatMap((daemon) => daemon.held(nowMs));
  }

  async wait(spanMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.base.after(spanMs, resolve);
    });
  }

  private startEntry(name: string): EntryDaemon {
    const id = { name, incarnation: 'e'.repeat(16) };
    this.directory.set({ ...memberOf(id, 'serving'), service: 'front' });
    return new EntryDaemon(id, {
      base: this.base,
      network: this.network,
      directory: this.directory,
      policies: this.policies,
      timeline: this.timeline(name),
      newId: () => this.newId(),
      forwarder: { forward: async (home, request) => this.forward(home, request) },
    });
  }

  /** Passes a request on to another entry, as a caller of that one would send it. */
  private async forward(to: Member, request: EntryRequest): Promise<EntryResponse | undefined> {
    const entry = this.entries.find(({ id }) => id.name === to.id.name);
    if (entry === undefined || entry.process.isKilled) return undefined;
    return entry.entry.handle({ ...request, origin: { kind: 'forwarded' } });
  }

  private timeline(owner: string): TimelineSink {
    return {
      emit: (event) => {
        this.events.push({ atMs: this.base.nowMs(), event });
        this.note(`${owner} event ${eventText(event)}`);
        this.onEvent(event.kind, event.root);
      },
    };
  }
}
