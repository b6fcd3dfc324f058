import type { ConfigurationFreshness } from '@daisyferry/mesh/configuration-freshness';
import {
  decodeFreshness,
  decodeQuestion,
  encodeFreshness,
  encodeQuestion,
} from '@daisyferry/peering/freshness-codec';
import {
  ReadingRole,
  type FreshnessNeed,
  type FreshnessSchedule,
  type ReadingRoleName,
} from '@daisyferry/mesh/freshness-schedule';
import type { Moment } from '@daisyferry/mesh/moment';
import { peersToAsk } from '@daisyferry/mesh/peers-to-ask';
import {
  FreshnessOccasion,
  peersToReport,
  type FreshnessOccasionName,
} from '@daisyferry/mesh/peers-to-report';
import { requestRank } from '@daisyferry/mesh/request-rank';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { FrameKind } from '@daisyferry/peering/frame';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import type { ConfigurationHolder } from './configuration-holder';
import type { EventLog } from './event-log';
import type { PeerConnections } from './peer-connections';
import type { ControlFrameSender } from './peer-group';

export interface FreshnessKeeperParts {
  readonly ownDaemonId: string;
  readonly freshness: ConfigurationFreshness;
  readonly schedule: FreshnessSchedule;
  readonly store: KeyValueStore;
  readonly configurationKey: string;
  readonly configuration: ConfigurationHolder;
  readonly peers: Pick<
    PeerConnections,
    'connectedPeers' | 'dataCentrePeers' | 'configurations' | 'records' | 'setHandler'
  >;
  /** Time within which a change has to be in force. */
  readonly applyMs: () => number;
  /** Time after which no request with a withdrawn key may run; undefined without a bound. */
  readonly withdrawalMs: () => number | undefined;
  /** True while this daemon follows the store for its data centre. */
  readonly isFollowing: () => boolean;
  /** Called when a read of a daemon that follows the store found what no watch had told. */
  readonly onUntoldChange: () => void;
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
/** Share of the bound on withdrawals within which a change has to be known. */
const WITHDRAWAL_SHARE = 0.5;

/**
 * Keeps the knowledge of the configuration fresh: reads the store, asks peers, answers theirs, and
 * reports what was read. Where keys of client accounts are in force, requests with keys depend on it.
 */
export class FreshnessKeeper {
  private timer: NodeJS.Timeout | undefined;

  private questionCount = 0;

  /** When the open questions were asked. */
  private readonly askedAt = new Map<number, Moment>();

  private wasProven = false;

  private wasCurrent = true;

  constructor(private readonly parts: FreshnessKeeperParts) {
    const { peers } = parts;
    peers.setHandler(FrameKind.freshnessRequest, ({ head }, _daemonId, sender) =>
      this.answer(head, sender),
    );
    peers.setHandler(FrameKind.freshness, ({ head }, daemonId, sender) =>
      this.learn(head, daemonId, sender),
    );
    peers.configurations.onVersionReported((sender) => this.askReporter(sender));
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
    const boundMs = this.withdrawalBoundMs();
    return boundMs === undefined || this.parts.freshness.isProven(boundMs, this.parts.now());
  }

  /** Records a read of the configuration by another part; it may not be stale. */
  recordRead(begunAt: Moment): void {
    this.parts.freshness.recordAnswered(begunAt, this.parts.now());
  }

  /** Reads the store and asks peers if that is due; called several times a second. */
  check(): void {
    const { schedule, fleetSize, now } = this.parts;
    const ageMs = this.ageMs();
    this.logChanges(ageMs);
    const need = { ageMs, boundMs: this.boundMs(), role: this.role(), fleetSize };
    const nowMs = now().monotonicMs;
    if (schedule.shouldRead(need, nowMs)) {
      this.read().catch((error: unknown) =>
        this.parts.log.warn('read of the store failed', { error: String(error) }),
      );
    }
    if (schedule.shouldAsk(need, nowMs)) this.ask(need);
  }

  /**
   * True until anything has proven the configuration, which may be one from before there were
   * accounts. False where withdrawals have no bound.
   */
  awaitsFirstProof(): boolean {
    const { withdrawalMs, freshness } = this.parts;
    return withdrawalMs() !== undefined && freshness.source === undefined;
  }

  private withdrawalBoundMs(): number | undefined {
    const { withdrawalMs, configuration } = this.parts;
    const mayHaveAccounts = configuration.routes?.hasAccounts === true || this.awaitsFirstProof();
    return mayHaveAccounts ? withdrawalMs() : undefined;
  }

  private boundMs(): number {
    const withdrawalMs = this.withdrawalBoundMs() ?? Number.POSITIVE_INFINITY;
    return Math.min(this.parts.applyMs(), withdrawalMs * WITHDRAWAL_SHARE);
  }

  /** The first in rank of the connected daemons that follow the store reads it for all of them. */
  private role(): ReadingRoleName {
    const { isFollowing, ownDaemonId, peers } = this.parts;
    if (!isFollowing()) return ReadingRole.none;
    const ownRank = requestRank(ownDaemonId);
    for (const { daemonId } of peers.connectedPeers()) {
      if (peers.records.isReader(daemonId) && requestRank(daemonId) < ownRank)
        return ReadingRole.follow;
    }
    return ReadingRole.lead;
  }

  private ask({ ageMs, boundMs }: FreshnessNeed): void {
    const { random, isFollowing } = this.parts;
    const asking = { ageMs, boundMs, isFollowing: isFollowing() };
    const asked = peersToAsk(this.askablePeers(), asking, random);
    const head = encodeQuestion(this.openQuestion());
    for (const { sender } of asked) sender.sendControl(FrameKind.freshnessRequest, head);
  }

  /** Asks a peer that has reported its version, as it may just have read the store. */
  private askReporter(sender: ControlFrameSender): void {
    const { schedule, now } = this.parts;
    const need = { ageMs: this.ageMs(), boundMs: this.boundMs() };
    if (!schedule.shouldAskReporter(need, now().monotonicMs)) return;
    sender.sendControl(FrameKind.freshnessRequest, encodeQuestion(this.openQuestion()));
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
    const { store, schedule, configurationKey, configuration, freshness, now, isFollowing } =
      this.parts;
    const begunAt = now();
    const result = await store.range({ key: configurationKey }, READ_TIMEOUT_MS);
    schedule.recordResult(result.ok);
    if (!result.ok) return;
    const document = result.value.values.find(({ key }) => key === configurationKey)?.value ?? '';
    // A store without a configuration that this daemon has got from it has lost it.
    if (document === '' && configuration.version > 0) return;
    const versionBefore = configuration.version;
    if (document !== '') configuration.applyIfNewer(document, 'store');
    freshness.recordAnswered(begunAt, now());
    this.report(FreshnessOccasion.read);
    if (configuration.version > versionBefore && isFollowing()) this.parts.onUntoldChange();
  }

  private report(occasion: FreshnessOccasionName): void {
    const { peers, random } = this.parts;
    for (const { sender } of peersToReport(this.askablePeers(), occasion, random))
      peers.configurations.reportTo(sender);
  }

  private answer(head: string, sender: ControlFrameSender): void {
    const { configuration } = this.parts;
    const question = decodeQuestion(head);
    const ageMs = this.ageMs();
    if (question === undefined || !Number.isFinite(ageMs)) return;
    const stated = { question, version: configuration.version, ageMs };
    sender.sendControl(FrameKind.freshness, encodeFreshness(stated));
  }

  private learn(head: string, daemonId: string, sender: ControlFrameSender): void {
    const { configuration, freshness, peers, now, isFollowing } = this.parts;
    const stated = decodeFreshness(head);
    const askedAt = stated && this.askedAt.get(stated.question);
    if (stated === undefined || askedAt === undefined) return;
    if (stated.version > configuration.version) {
      peers.configurations.handleVersion(stated.version, true, sender);
      return;
    }
    const ageBeforeMs = this.ageMs();
    freshness.recordPeerAnswer(askedAt, stated.ageMs, now());
    if (this.ageMs() >= ageBeforeMs) return;
    const isFromElsewhere = isFollowing() && !this.isLocal(daemonId);
    this.report(isFromElsewhere ? FreshnessOccasion.toldFollower : FreshnessOccasion.told);
  }

  private isLocal(daemonId: string): boolean {
    for (const peer of this.parts.peers.dataCentrePeers())
      if (peer.daemonId === daemonId) return true;
    return false;
  }

  private logChanges(ageMs: number): void {
    const { log, freshness, configuration, applyMs } = this.parts;
    const { version } = configuration;
    const fields = { version, ageMs: Math.round(ageMs), source: freshness.source };
    const isCurrent = ageMs <= applyMs();
    if (isCurrent !== this.wasCurrent && Number.isFinite(ageMs)) {
      this.wasCurrent = isCurrent;
      const message = isCurrent
        ? 'configuration known to be current again'
        : 'configuration may be out of date';
      log.stateChange(message, fields);
    }
    const isProven = this.isProven();
    if (this.withdrawalBoundMs() === undefined || isProven === this.wasProven) return;
    this.wasProven = isProven;
    const message = isProven
      ? 'configuration proven to be in force'
      : 'configuration too old for requests with keys';
    log.stateChange(message, fields);
  }
}
