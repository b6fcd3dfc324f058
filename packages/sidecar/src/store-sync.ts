import type { Moment } from '@daisyferry/mesh/moment';
import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { ConfigurationWatchChoice } from '@daisyferry/mesh/configuration-watch-choice';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import { requestRank } from '@daisyferry/mesh/request-rank';
import {
  StoreReading,
  type DataCentrePeer,
  type StoreReaderChoice,
} from '@daisyferry/mesh/store-reader-choice';
import { decodeStoredRecord } from '@daisyferry/peering/record-codec';
import type { KeyValueStore, StoredValue, WatchEvent } from '@daisyferry/store/key-value-store';
import type { ConfigurationHolder } from './configuration-holder';
import type { EventLog } from './event-log';
import { latestEvents } from './latest-events';
import type { PeerConnections } from './peer-connections';
import type { FailureReport } from './failure-report';
import { PrefixFollower } from './prefix-follower';
import { DAEMON_PREFIX, LEASE_MS, type Registration } from './registration';
import type { StoreState } from './store-state';
import type { UnreadableEntries } from './unreadable-entries';

export interface StoreSyncParts {
  readonly store: KeyValueStore;
  readonly storeState: StoreState;
  readonly operatorPrefix: string;
  readonly configurationKey: string;
  readonly configuration: ConfigurationHolder;
  readonly directory: FleetDirectory;
  readonly peerConnections: PeerConnections;
  readonly registration: Registration;
  readonly unreadableEntries: UnreadableEntries;
  readonly failures: FailureReport;
  readonly readerChoice: StoreReaderChoice;
  readonly ownDaemonId: string;
  readonly log: EventLog;
  readonly clock: () => number;
  readonly now: () => Moment;
  /** Called with the moment at which a read of the configuration began that was answered. */
  readonly onConfigurationRead: (begunAt: Moment) => void;
}

/** Time between two decisions whether this daemon follows the store. */
const DECISION_INTERVAL_MS = 200;
/** Bound on the silence of the watch of the records, which outlive their daemons as long. */
const RECORD_SILENCE_MS = LEASE_MS;
/** Time after a read within which the watch delivers the change that was read; it pauses in a burst. */
const DELIVERY_GRACE_MS = 1_200;
/** Timeout of a single read, and pause before the next one after it failed. */
const READ_TIMEOUT_MS = 1_500;
const READ_RETRY_MS = 400;

/**
 * Keeps the configuration and the daemon records of this process in sync with the store. Each
 * daemon reads the store once when it starts. Then a few of each data centre follow it and report
 * what changes to the others.
 */
export class StoreSync {
  private readonly configurationFollower: PrefixFollower;

  private readonly recordFollower: PrefixFollower;

  private readonly watchChoice = new ConfigurationWatchChoice();

  private timer: NodeJS.Timeout | undefined;

  /** Number of times that the configuration's follower has heard from the store. */
  private heardCount = 0;

  private heardTimer: NodeJS.Timeout | undefined;

  private isStopped = false;

  constructor(private readonly parts: StoreSyncParts) {
    const { store, log } = parts;
    let configurationReadAt = parts.now();
    this.configurationFollower = new PrefixFollower(store, parts.operatorPrefix, {
      onReadBegun: () => {
        configurationReadAt = parts.now();
      },
      onSnapshot: (values) => {
        log.stateChange('configuration read from the store');
        for (const value of values) this.applyConfiguration(value);
        this.heardCount += 1;
        parts.onConfigurationRead(configurationReadAt);
      },
      onEvents: (events) => {
        this.heardCount += 1;
        for (const event of events) this.applyConfiguration(event);
      },
      onInterrupted: (detail) => log.warn('configuration watch lost', { detail }),
    });
    this.recordFollower = new PrefixFollower(
      store,
      DAEMON_PREFIX,
      {
        onSnapshot: (values) => {
          this.applyRecordSnapshot(values);
          this.setReading(true);
          parts.peerConnections.records.reportSnapshot();
        },
        onEvents: (events) => this.applyRecordEvents(events),
        onInterrupted: (detail) => {
          this.setReading(false);
          log.warn('daemon watch lost', { detail });
        },
      },
      RECORD_SILENCE_MS,
    );
  }

  start(): void {
    this.readConfigurationOnce().catch((error: unknown) => this.logFailedRead(error));
    this.readRecordsOnce({ isFirst: true }).catch((error: unknown) => this.logFailedRead(error));
    this.timer = setInterval(() => this.decide(this.parts.clock()), DECISION_INTERVAL_MS);
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    clearTimeout(this.heardTimer);
    this.configurationFollower.stop();
    this.recordFollower.stop();
  }

  /** True while this daemon is to follow the store for its data centre. */
  get isFollowing(): boolean {
    return this.recordFollower.isStarted;
  }

  /**
   * Reads and watches anew if the watch of the configuration does not deliver soon what a read has
   * found: its connection, and that of the other watch, may have gone silent.
   */
  expectChange(): void {
    const { heardCount } = this;
    clearTimeout(this.heardTimer);
    this.heardTimer = setTimeout(() => {
      if (this.heardCount !== heardCount || !this.configurationFollower.isStarted) return;
      this.parts.log.warn('watches hear nothing, started anew');
      this.configurationFollower.restart();
      this.recordFollower.restart();
    }, DELIVERY_GRACE_MS);
  }

  private decide(nowMs: number): void {
    const { readerChoice, directory, peerConnections } = this.parts;
    peerConnections.records.requestViewIfMissing(nowMs);
    const isSingleDataCentre = directory.zoneCount <= 1;
    const reading = readerChoice.decide(this.dataCentrePeers(), isSingleDataCentre, nowMs);
    if (reading === StoreReading.follow) this.follow(nowMs);
    else this.stopFollowing();
    if (reading === StoreReading.once) {
      this.readRecordsOnce({ isFirst: false }).catch((error: unknown) => this.logFailedRead(error));
    }
  }

  private dataCentrePeers(): DataCentrePeer[] {
    const { peerConnections } = this.parts;
    return [...peerConnections.dataCentrePeers()].map(({ daemonId }) => ({
      daemonId,
      isReading: peerConnections.records.isReader(daemonId),
    }));
  }

  private follow(nowMs: number): void {
    if (!this.recordFollower.isStarted) {
      this.parts.log.stateChange('follows the store');
      this.watchChoice.reset();
      this.recordFollower.start();
      this.parts.registration.setFrequentRenewal(true);
    }
    const watches = this.watchChoice.decide(this.followersAhead(), nowMs);
    if (watches === this.configurationFollower.isStarted) return;
    this.parts.log.stateChange(`${watches ? 'watches' : 'no longer watches'} the configuration`);
    if (watches) this.configurationFollower.start();
    else this.configurationFollower.stop();
  }

  private followersAhead(): number {
    const { peerConnections, ownDaemonId } = this.parts;
    const { records } = peerConnections;
    const ownRank = requestRank(ownDaemonId);
    return [...peerConnections.connectedPeers()].filter(
      ({ daemonId }) => records.isReader(daemonId) && requestRank(daemonId) < ownRank,
    ).length;
  }

  private stopFollowing(): void {
    if (!this.recordFollower.isStarted) return;
    this.parts.log.stateChange('no longer follows the store');
    this.configurationFollower.stop();
    this.recordFollower.stop();
    this.setReading(false);
    this.parts.registration.setFrequentRenewal(false);
  }

  private setReading(isReading: boolean): void {
    const { storeState, peerConnections } = this.parts;
    if (storeState.isWatching === isReading) return;
    storeState.setWatching(isReading);
    peerConnections.records.broadcastReading(isReading);
  }

  /**
   * Reads the configuration, until that succeeds or a peer has sent one. It may be some seconds old:
   * peers report a newer one as soon as they are connected, and a daemon alone follows the store.
   */
  private async readConfigurationOnce(): Promise<void> {
    const { store, configurationKey, configuration, storeState, log } = this.parts;
    const query = { key: configurationKey, mayBeStale: true };
    const result = await store.range(query, READ_TIMEOUT_MS);
    if (this.isStopped || storeState.isWatching) return;
    if (result.ok) {
      log.stateChange('configuration read from the store');
      for (const value of result.value.values) this.applyConfiguration(value);
    } else if (configuration.version === 0) {
      log.warn('configuration not read from the store', { detail: result.detail });
      this.retryRead(() => this.readConfigurationOnce());
    }
  }

  /**
   * Reads the records once. The first read needs no more than one daemon that is still there, which
   * then tells the rest; it is repeated until it succeeds or a peer is connected.
   */
  private async readRecordsOnce({ isFirst }: { readonly isFirst: boolean }): Promise<void> {
    const { store, peerConnections, log } = this.parts;
    const query = { key: DAEMON_PREFIX, prefix: true, mayBeStale: isFirst };
    const result = await store.range(query, READ_TIMEOUT_MS);
    if (this.isStopped || this.recordFollower.isStarted) return;
    if (result.ok && isFirst) {
      for (const record of this.readRecords(result.value.values)) this.applyRecord(record);
    } else if (result.ok) {
      this.applyRecordSnapshot(result.value.values);
    } else {
      log.warn('daemon records not read from the store', { detail: result.detail });
      const isStillAlone = peerConnections.connectedCount === 0;
      if (isFirst && isStillAlone) this.retryRead(() => this.readRecordsOnce({ isFirst }));
    }
  }

  private retryRead(read: () => Promise<void>): void {
    setTimeout(() => {
      if (!this.isStopped) read().catch((error: unknown) => this.logFailedRead(error));
    }, READ_RETRY_MS);
  }

  private logFailedRead(error: unknown): void {
    this.parts.log.warn('read of the store failed', { error: String(error) });
  }

  private applyConfiguration({ key, value }: StoredValue | WatchEvent): void {
    const { configurationKey, configuration, failures } = this.parts;
    if (key !== configurationKey || value === '') return;
    try {
      configuration.applyIfNewer(value, 'store');
    } catch (error) {
      failures.report('configuration', error, { key });
    }
  }

  private applyRecordSnapshot(values: readonly StoredValue[]): void {
    const { peerConnections, directory, log, clock, ownDaemonId, registration } = this.parts;
    log.stateChange('daemon records read from the store', { count: values.length });
    peerConnections.records.markViewComplete();
    this.parts.unreadableEntries.retain(new Set(values.map(({ key }) => key)));
    const records = this.readRecords(values);
    for (const record of records) this.applyRecord(record);
    const storedIds = new Set(records.map(({ daemonId }) => daemonId));
    directory.retainStored(storedIds, clock());
    if (!storedIds.has(ownDaemonId)) registration.scheduleRewrite();
    peerConnections.records.reportMissingRecords(storedIds);
  }

  private applyRecordEvents(events: readonly WatchEvent[]): void {
    const { peerConnections, log, unreadableEntries } = this.parts;
    const records: DaemonRecord[] = [];
    const removedIds: string[] = [];
    for (const event of latestEvents(events)) {
      const daemonId = event.key.slice(DAEMON_PREFIX.length);
      const record = event.kind === 'put' ? this.readRecord(event) : undefined;
      if (record !== undefined) {
        records.push(record);
      } else {
        // An entry that cannot be read has replaced the one before.
        removedIds.push(daemonId);
        this.removeFromStored(daemonId);
      }
      if (event.kind === 'delete') {
        unreadableEntries.remove(event.key);
        log.stateChange('daemon record removed from the store', { peerId: daemonId });
      }
    }
    for (const record of records) this.applyRecord(record);
    peerConnections.records.reportChanges({ records, removedIds });
  }

  /** A record that cannot be applied does not keep the others from being applied. */
  private applyRecord(record: DaemonRecord): void {
    const { peerConnections, failures } = this.parts;
    try {
      peerConnections.records.applyRecord(record, 'stored');
    } catch (error) {
      failures.report('record', error, { key: `${DAEMON_PREFIX}${record.daemonId}` });
    }
  }

  private removeFromStored(daemonId: string): void {
    const { directory, clock, ownDaemonId, registration } = this.parts;
    if (daemonId === ownDaemonId) registration.scheduleRewrite();
    else directory.markRemovedFromStore(daemonId, clock());
  }

  private readRecords(values: readonly StoredValue[]): DaemonRecord[] {
    return values.flatMap((value) => this.readRecord(value) ?? []);
  }

  private readRecord({ key, value }: Pick<StoredValue, 'key' | 'value'>): DaemonRecord | undefined {
    const { unreadableEntries, log } = this.parts;
    const reading = decodeStoredRecord(value, key.slice(DAEMON_PREFIX.length));
    if (reading.ok) {
      unreadableEntries.remove(key);
      return reading.record;
    }
    const { problem } = reading;
    if (unreadableEntries.add(key, problem))
      log.warn('unreadable entry of the store left out', { key, problem });
    return undefined;
  }
}
