import type { Member } from '@daisyferry/model/member';
import { Reachability, TargetState } from '@daisyferry/model/member';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { GossipEngine } from '../src/gossip-engine';
import type { GossipAddress, GossipEffect } from '../src/gossip-effect';
import { DATAGRAM_OVERHEAD_BYTES } from '../src/gossip-message';
import type { GossipTuning } from '../src/gossip-options';

export const START_MS = 1_800_000_000_000;
const GOSSIP_PORT = 7_000;
const MODULUS = 2 ** 32;

/** Small deterministic random generator; sufficient for test events. */
export function seededRandom(seed: number): RandomSource {
  let state = seed % MODULUS;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) % MODULUS;
    if (state < 0) state += MODULUS;
    return state / MODULUS;
  };
}

export function testMember(number: number, change: Partial<Member> = {}): Member {
  return {
    id: { name: `vault-${number}`, incarnation: number.toString(16).padStart(16, '0') },
    service: 'vault',
    dataCentre: `dc-${number % 3}`,
    region: 'ncr',
    address: `10.0.${Math.floor(number / 250)}.${(number % 250) + 1}`,
    peerPort: 8_000,
    gossipPort: GOSSIP_PORT,
    slots: 170,
    connections: 1_100,
    targetState: TargetState.serving,
    version: 1,
    ...change,
  };
}

export interface NetworkFaults {
  readonly lossRatio: number;
  readonly duplicateRatio: number;
  readonly maxDelayMs: number;
}

const NO_FAULTS: NetworkFaults = { lossRatio: 0, duplicateRatio: 0, maxDelayMs: 5 };

interface Node {
  readonly engine: GossipEngine;
  readonly address: string;
  pausedUntilMs: number;
  isUp: boolean;
  bytesSent: number;
  bytesReceived: number;
  readonly effects: GossipEffect[];
}

interface Datagram {
  readonly atMs: number;
  readonly from: string;
  readonly to: string;
  readonly payload: Buffer;
}

/** Engines on one virtual clock, connected by a network with loss, delays and partitions. */
export class FakeNetwork {
  nowMs = START_MS;

  private faults: NetworkFaults = NO_FAULTS;

  /** Number of partitions; datagrams between different partitions are lost. */
  private partitions = 1;

  readonly nodes = new Map<string, Node>();

  private datagrams: Datagram[] = [];

  constructor(
    private readonly random: RandomSource,
    private readonly tuning: Partial<GossipTuning> = {},
  ) {}

  /** Replaces the node at the member's address with a new incarnation that knows one seed. */
  restart(self: Member, clockBackMs: number): GossipEngine {
    const [seed] = this.runningNodes().filter(({ address }) => address !== self.address);
    const seeds = seed === undefined ? [] : [{ address: seed.address, port: GOSSIP_PORT }];
    return this.add(self, seeds, clockBackMs);
  }

  add(self: Member, seeds: readonly GossipAddress[], clockBackMs = 0): GossipEngine {
    const { random, tuning } = this;
    const options = { self, cluster: 'test', random, tuning };
    const engine = new GossipEngine(options, this.nowMs - clockBackMs);
    const node: Node = {
      engine,
      address: self.address,
      pausedUntilMs: 0,
      isUp: true,
      bytesSent: 0,
      bytesReceived: 0,
      effects: [],
    };
    this.nodes.set(self.address, node);
    this.performEffects(node, engine.join(seeds, this.nowMs));
    return engine;
  }

  setFaults(faults: NetworkFaults): void {
    this.faults = faults;
  }

  clearFaults(): void {
    this.faults = NO_FAULTS;
    this.partitions = 1;
  }

  /** Partitions the network by the last byte of the addresses. */
  setPartitions(partitions: number): void {
    this.partitions = partitions;
  }

  pause(member: Member, forMs: number): void {
    this.node(member).pausedUntilMs = this.nowMs + forMs;
  }

  kill(member: Member): void {
    this.node(member).isUp = false;
  }

  private partitionOf(address: string): number {
    return Number(address.split('.')[3]) % this.partitions;
  }

  node(member: Pick<Member, 'address'>): Node {
    const node = this.nodes.get(member.address);
    if (node === undefined) throw new Error(`no node at ${member.address}`);
    return node;
  }

  performEffects(node: Node, effects: readonly GossipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') this.send(node, effect.address, effect.payload);
      else node.effects.push(effect);
    }
  }

  /** Runs for the duration or until the condition holds; returns whether it held. */
  runFor(durationMs: number, isDone: () => boolean = () => false): boolean {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      if (isDone()) return true;
      const nextMs = this.nextEventMs();
      if (nextMs > endMs) {
        this.nowMs = endMs;
        return isDone();
      }
      this.nowMs = Math.max(this.nowMs, nextMs);
      this.deliver();
      this.tickAll();
    }
  }

  runningNodes(): Node[] {
    return [...this.nodes.values()].filter((node) => node.isUp);
  }

  /** True if each live node sees exactly the given members as alive. */
  allSeeAlive(members: readonly Member[]): boolean {
    const wanted = new Set(members.map((member) => member.id.incarnation));
    return this.runningNodes().every(({ engine }) => {
      const alive = [...engine.table.allRecords()].filter(
        ({ reachability }) => reachability === Reachability.alive,
      );
      return (
        alive.length === wanted.size &&
        alive.every(({ member }) => wanted.has(member.id.incarnation))
      );
    });
  }

  private send(node: Node, to: string, payload: Buffer): void {
    const { lossRatio, duplicateRatio, maxDelayMs } = this.faults;
    const sender = node;
    sender.bytesSent += payload.length + DATAGRAM_OVERHEAD_BYTES;
    const copies = this.random() < duplicateRatio ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random() >= lossRatio) {
        const atMs = this.nowMs + 0.1 + this.random() * maxDelayMs;
        this.datagrams.push({ atMs, from: node.address, to, payload });
      }
    }
  }

  private nextEventMs(): number {
    let nextMs = Number.POSITIVE_INFINITY;
    for (const node of this.runningNodes()) {
      nextMs = Math.min(nextMs, Math.max(node.engine.nextWakeAtMs(), node.pausedUntilMs));
    }
    for (const { atMs, to } of this.datagrams) {
      nextMs = Math.min(nextMs, Math.max(atMs, this.nodes.get(to)?.pausedUntilMs ?? 0));
    }
    return nextMs;
  }

  private deliver(): void {
    const isDue = ({ atMs, to }: Datagram): boolean =>
      Math.max(atMs, this.nodes.get(to)?.pausedUntilMs ?? 0) <= this.nowMs;
    const due = this.datagrams.filter(isDue);
    this.datagrams = this.datagrams.filter((datagram) => !isDue(datagram));
    for (const { from, to, payload } of due.sort((left, right) => left.atMs - right.atMs)) {
      const node = this.nodes.get(to);
      if (node?.isUp === true && this.partitionOf(from) === this.partitionOf(to)) {
        node.bytesReceived += payload.length + DATAGRAM_OVERHEAD_BYTES;
        const source = { address: from, port: GOSSIP_PORT };
        this.performEffects(node, node.engine.handle(payload, source, this.nowMs));
      }
    }
  }

  private tickAll(): void {
    for (const node of this.runningNodes()) {
      const isDue = node.pausedUntilMs <= this.nowMs && node.engine.nextWakeAtMs() <= this.nowMs;
      if (isDue) this.performEffects(node, node.engine.tick(this.nowMs));
    }
  }
}

/** Creates a network of engines that all join through the first one. */
export function joinedNetwork(
  count: number,
  randomSeed: number,
  tuning: Partial<GossipTuning> = {},
): { readonly network: FakeNetwork; readonly members: readonly Member[] } {
  const network = new FakeNetwork(seededRandom(randomSeed), tuning);
  const members = Array.from({ length: count }, (_, number) => testMember(number));
  const seeds = members.slice(0, 1).map(({ address }) => ({ address, port: GOSSIP_PORT }));
  for (const member of members) network.add(member, seeds);
  return { network, members };
}
