import type { ConfigurationFreshness } from '@daisyferry/mesh/configuration-freshness';
import {
  decodeFreshness,
  decodeQuestion,
  encodeFreshness,
  encodeQuestion,
} from '@daisyferry/peering/freshness-codec';
import type { FreshnessSchedule } from '@daisyferry/mesh/freshness-schedule';
import type { Moment } from '@daisyferry/mesh/moment';
import { peersToAsk } from '@daisyferry/mesh/peers-to-ask';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { FrameKind } from '@daisyferry/peering/frame';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import type { ConfigurationHolder } from './configuration-holder';
import type { EventLog } from './event-log';
import type { PeerConnections } from './peer-connections';
import type { ControlFrameSender } from './peer-group';

export interface FreshnessKeeperParts {
  readonly freshness: ConfigurationFreshness;
  readonly schedule: FreshnessSchedule;
  readonly store: KeyValueStore;
  readonly configurationKey: string;
  readonly configuration: ConfigurationHolder;
  readonly peers: Pick<
    PeerConnections,
    'connectedPeers' | 'dataCentrePeers' | 'configurations' | 'records' | 'setHandler'
  >;
  /** Time after which no request with a withdrawn key may run; undefined without a bound. */
  readonly withdrawalMs: () => number | undefined;
  /** True while this daemon follows the store for its data centre. */
  readonly isFollowing: () => boolean;
  /** Daemons that may lack fresh knowledge at the same time as this one. */
  readonly fleetSize: () => number;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly now: () => Moment;
}

const CHECK_INTERVAL_MS = 100;
/** Timeout of a read: later, its answer proves too little. */
const READ_TIMEOUT_MS = 3_000;
/** Questions whose answers are awaited; a later answer proves too little. */
const MAX_OPEN_QUESTIONS = 16;

/**
 * Keeps the knowledge of the configuration fresh where client accounts and the withdrawal of their
 * keys are in force: reads the store, asks peers, and answers theirs.
 */
export class FreshnessKeeper {
  private timer: NodeJS.Timeout | undefined;

  private questionCount = 0;

  /** When the open questions were asked. */
  private readonly askedAt = new Map<number, Moment>();

  private wasProven = false;

  constructor(private readonly parts: FreshnessKeeperParts) {
    const { peers } = parts;
    peers.setHandler(FrameKind.freshnessRequest, ({ head }, _daemonId, sender) =>
      this.answer(head, sender),
    );
    peers.setHandler(FrameKind.freshness, ({ head }, _daemonId, sender) =>
      this.learn(head, sender),
    );
  }

  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Infinite if nothing is known. */
  ageMs(): number {
    return this.parts.freshness.ageMs(this.parts.now());
  }

  /** False if a key may have been withdrawn longer ago than requests with it may run. */
  isProven(): boolean {
    const { withdrawalMs, configuration, freshness, now } = this.parts;
    const boundMs = withdrawalMs();
    if (boundMs === undefined || configuration.routes?.hasAccounts !== true) return true;
    return freshness.isProven(boundMs, now());
  }

  /** Records a read of the configuration by another part; it may not be stale. */
  recordRead(begunAt: Moment): void {
    this.parts.freshness.recordAnswered(begunAt, this.parts.now());
  }

  /** Reads the store and asks peers if that is due; called several times a second. */
  check(): void {
    const { withdrawalMs, configuration, schedule, isFollowing, fleetSize, now } = this.parts;
    if (withdrawalMs() === undefined || configuration.routes?.hasAccounts !== true) return;
    const need = {
      ageMs: this.ageMs(),
      isProven: this.isProven(),
      isFollowing: isFollowing(),
      fleetSize,
    };
    const nowMs = now().monotonicMs;
    this.logChange(need.isProven, need.ageMs);
    if (schedule.shouldRead(need, nowMs)) {
      this.read().catch((error: unknown) =>
        this.parts.log.warn('read of the store failed', { error: String(error) }),
      );
    }
    if (schedule.shouldAsk(need, nowMs)) this.ask(need.ageMs);
  }

  private ask(ageMs: number): void {
    const head = encodeQuestion(this.openQuestion());
    for (const { sender } of peersToAsk(this.askablePeers(), ageMs, this.parts.random)) {
      sender.sendControl(FrameKind.freshnessRequest, head);
    }
  }

  private askablePeers() {
    const { peers } = this.parts;
    const local = new Set([...peers.dataCentrePeers()].map(({ daemonId }) => daemonId));
    return [...peers.connectedPeers()].map(({ daemonId, sender }) => ({
      sender,
      isLocal: local.has(daemonId),
      isReading: peers.records.isReader(daemonId),
    }));
  }

  private openQuestion(): number {
    this.questionCount += 1;
    this.askedAt.set(this.questionCount, this.parts.now());
    this.askedAt.delete(this.questionCount - MAX_OPEN_QUESTIONS);
    return this.questionCount;
  }

  private async read(): Promise<void> {
    const { store, configurationKey, configuration, freshness, now } = this.parts;
    const begunAt = now();
    const result = await store.range({ key: configurationKey }, READ_TIMEOUT_MS);
    if (!result.ok) return;
    const stored = result.value.values.find(({ key }) => key === configurationKey);
    // A store without a configuration has lost it.
    if (stored === undefined || stored.value === '') return;
    configuration.applyIfNewer(stored.value, 'store');
    freshness.recordAnswered(begunAt, now());
  }

  private answer(head: string, sender: ControlFrameSender): void {
    const { configuration } = this.parts;
    const question = decodeQuestion(head);
    const ageMs = this.ageMs();
    if (question === undefined || !Number.isFinite(ageMs)) return;
    const stated = { question, version: configuration.version, ageMs };
    sender.sendControl(FrameKind.freshness, encodeFreshness(stated));
  }

  private learn(head: string, sender: ControlFrameSender): void {
    const { configuration, freshness, peers, now } = this.parts;
    const stated = decodeFreshness(head);
    const askedAt = stated && this.askedAt.get(stated.question);
    if (stated === undefined || askedAt === undefined) return;
    if (stated.version > configuration.version) {
      peers.configurations.handleVersion(stated.version, true, sender);
    } else {
      freshness.recordPeerAnswer(askedAt, stated.ageMs, now());
    }
  }

  private logChange(isProven: boolean, ageMs: number): void {
    if (isProven === this.wasProven) return;
    this.wasProven = isProven;
    const { log, freshness, configuration } = this.parts;
    const message = isProven
      ? 'configuration proven to be in force'
      : 'configuration too old for requests with keys';
    const { source } = freshness;
    log.stateChange(message, { version: configuration.version, ageMs: Math.round(ageMs), source });
  }
}
