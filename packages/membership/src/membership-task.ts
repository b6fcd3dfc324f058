import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import { isIPv6 } from 'node:net';
import type { Member, MemberDirectory, MemberView } from '@daisyferry/model/member';
import type { Scheduler, Timer } from '@daisyferry/model/scheduler';
import { GossipEngine } from './gossip-engine';
import type { GossipAddress, GossipEffect } from './gossip-effect';
import type { DropReasonName } from './gossip-message';
import { DATAGRAM_OVERHEAD_BYTES, DropReason } from './gossip-message';
import type { GossipOptions } from './gossip-options';
import type { MemberStatus } from './member-row';
import type { MemberTable } from './member-table';
import type { MemberChange } from './self-record';

/** Receives events of the membership. */
export interface MembershipListener {
  onMemberChanged(view: MemberView): void;
  /** A member has applied a greater policy revision than any announced by this daemon. */
  onPolicyRumor(revision: number, from: Member): void;
  /** Another live process uses this daemon's name; this one has been replaced. */
  onSuperseded(by: Member): void;
}

/** Datagrams and bytes since the start; bytes include IP and UDP headers. */
export interface MembershipCounters {
  bytesIn: number;
  bytesOut: number;
  datagramsIn: number;
  datagramsOut: number;
  /** Failed sends and errors of the socket. */
  sendErrors: number;
  readonly dropped: Record<DropReasonName, number>;
}

export interface MembershipTaskOptions {
  /** Local address and port of the socket; port 0 selects a free port. */
  readonly bind: GossipAddress;
  readonly scheduler: Scheduler;
  readonly listener: MembershipListener;
  readonly gossip: GossipOptions;
}

function zeroDropCounts(): Record<DropReasonName, number> {
  return {
    [DropReason.oversized]: 0,
    [DropReason.unsigned]: 0,
    [DropReason.malformed]: 0,
    [DropReason.otherCluster]: 0,
    [DropReason.otherVersion]: 0,
  };
}

/** Minimum time between two fetches of the whole table. */
const MIN_FETCH_INTERVAL_MS = 10_000;

/** Runs the gossip engine on a UDP socket and a timer. */
export class MembershipTask {
  readonly counters: MembershipCounters = {
    bytesIn: 0,
    bytesOut: 0,
    datagramsIn: 0,
    datagramsOut: 0,
    sendErrors: 0,
    dropped: zeroDropCounts(),
  };

  private readonly socket: Socket;

  private readonly engine: GossipEngine;

  private timer: Timer | undefined;

  private isRunning = false;

  private nextFetchAtMs = 0;

  private tableFetcher: () => void = () => undefined;

  constructor(private readonly options: MembershipTaskOptions) {
    const { bind, gossip, scheduler } = options;
    this.socket = createSocket(isIPv6(bind.address) ? 'udp6' : 'udp4');
    this.engine = new GossipEngine(gossip, scheduler.nowMs());
  }

  get directory(): MemberDirectory {
    return this.engine.directory;
  }

  get table(): MemberTable {
    return this.engine.table;
  }

  get selfMember(): Member {
    return this.engine.selfMember;
  }

  /** Binds the socket and starts gossiping; resolves to the bound port. */
  async start(): Promise<number> {
    const { bind } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(bind.port, bind.address, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
    this.socket.on('error', () => {
      this.counters.sendErrors += 1;
    });
    this.socket.on('message', (payload, { address, port }) =>
      this.receive(payload, { address, port }),
    );
    this.isRunning = true;
    const { port } = this.socket.address();
    if (port !== this.selfMember.gossipPort) this.publish({ gossipPort: port });
    this.tick();
    return port;
  }

  /** Sets the function that fetches the whole table if a peer's table is many times larger. */
  setTableFetcher(fetchTable: () => void): void {
    this.tableFetcher = fetchTable;
  }

  /** Informs peers that this daemon leaves, then closes the socket. */
  async stop(): Promise<void> {
    if (!this.isRunning) return;
    this.isRunning = false;
    this.timer?.cancel();
    const leaveEffects = this.engine.leave(this.now());
    await Promise.all(leaveEffects.map(async (effect) => this.sendAndWait(effect)));
    await new Promise<void>((resolve) => {
      this.socket.close(() => resolve());
    });
  }

  join(seeds: readonly GossipAddress[]): void {
    this.performEffects(this.engine.join(seeds, this.now()));
  }

  publish(change: MemberChange): void {
    this.performEffects(this.engine.publish(change, this.now()));
  }

  announcePolicyRevision(revision: number): void {
    this.performEffects(this.engine.announcePolicyRevision(revision, this.now()));
  }

  mergeMembers(statuses: readonly MemberStatus[]): void {
    this.performEffects(this.engine.mergeMembers(statuses, this.now()));
  }

  reportUnreachable(name: string): void {
    this.performEffects(this.engine.reportUnreachable(name, this.now()));
  }

  private now(): number {
    return this.options.scheduler.nowMs();
  }

  private receive(payload: Buffer, from: GossipAddress): void {
    this.counters.datagramsIn += 1;
    this.counters.bytesIn += payload.length + DATAGRAM_OVERHEAD_BYTES;
    this.performEffects(this.engine.handle(payload, from, this.now()));
  }

  private tick(): void {
    this.performEffects(this.engine.tick(this.now()));
  }

  private performEffects(effects: readonly GossipEffect[]): void {
    if (!this.isRunning) return;
    for (const effect of effects) this.performEffect(effect);
    this.timer?.cancel();
    const delayMs = Math.max(0, this.engine.nextWakeAtMs() - this.now());
    this.timer = this.options.scheduler.after(delayMs, () => this.tick());
  }

  private performEffect(effect: GossipEffect): void {
    const { listener } = this.options;
    switch (effect.kind) {
      case 'send':
        this.send(effect.payload, effect);
        break;
      case 'memberChanged':
        listener.onMemberChanged(effect.view);
        break;
      case 'policyRumor':
        listener.onPolicyRumor(effect.revision, effect.from);
        break;
      case 'tableBehind':
        this.fetchTable();
        break;
      case 'superseded':
        listener.onSuperseded(effect.by);
        break;
      case 'dropped':
        this.counters.dropped[effect.reason] += 1;
        break;
      default:
    }
  }

  private fetchTable(): void {
    if (this.now() < this.nextFetchAtMs) return;
    this.nextFetchAtMs = this.now() + MIN_FETCH_INTERVAL_MS;
    this.tableFetcher();
  }

  private send(payload: Buffer, to: GossipAddress, done: () => void = () => undefined): void {
    this.counters.datagramsOut += 1;
    this.counters.bytesOut += payload.length + DATAGRAM_OVERHEAD_BYTES;
    this.socket.send(payload, to.port, to.address, (error) => {
      if (error) this.counters.sendErrors += 1;
      done();
    });
  }

  private async sendAndWait(effect: GossipEffect): Promise<void> {
    if (effect.kind !== 'send') return;
    await new Promise<void>((resolve) => {
      this.send(effect.payload, effect, resolve);
    });
  }
}
