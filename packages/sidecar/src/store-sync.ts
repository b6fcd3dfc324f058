import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import { decodeRecord } from '@daisyferry/peering/control-codec';
import type { KeyValueStore, StoredValue, WatchEvent } from '@daisyferry/store/key-value-store';
import type { ConfigurationHolder } from './configuration-holder';
import type { EventLog } from './event-log';
import type { PeerConnections } from './peer-connections';
import { PrefixFollower } from './prefix-follower';
import { DAEMON_PREFIX, type Registration } from './registration';
import type { StoreState } from './store-state';

export interface StoreSyncParts {
  readonly store: KeyValueStore;
  readonly storeState: StoreState;
  readonly operatorPrefix: string;
  readonly configurationKey: string;
  readonly configuration: ConfigurationHolder;
  readonly directory: FleetDirectory;
  readonly peerConnections: PeerConnections;
  readonly registration: Registration;
  readonly ownDaemonId: string;
  readonly log: EventLog;
  readonly clock: () => number;
}

/** Keeps the configuration and the daemon records of this process in sync with the store. */
export class StoreSync {
  private readonly followers: readonly PrefixFollower[];

  constructor(private readonly parts: StoreSyncParts) {
    const { store, log, storeState } = parts;
    const configuration = new PrefixFollower(store, parts.operatorPrefix, {
      onSnapshot: (values) => {
        log.stateChange('configuration read from the store');
        for (const value of values) this.applyConfiguration(value);
      },
      onEvents: (events) => {
        for (const event of events) this.applyConfiguration(event);
      },
      onInterrupted: (detail) => log.warn('configuration watch lost', { detail }),
    });
    const daemons = new PrefixFollower(store, DAEMON_PREFIX, {
      onSnapshot: (values) => {
        storeState.setWatching(true);
        this.applyRecordSnapshot(values);
      },
      onEvents: (events) => {
        for (const event of events) this.applyRecordEvent(event);
      },
      onInterrupted: (detail) => {
        storeState.setWatching(false);
        log.warn('daemon watch lost', { detail });
      },
    });
    this.followers = [configuration, daemons];
  }

  start(): void {
    for (const follower of this.followers) follower.start();
  }

  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  private applyConfiguration({ key, value }: StoredValue | WatchEvent): void {
    const { configurationKey, configuration } = this.parts;
    if (key === configurationKey && value !== '') configuration.applyIfNewer(value, 'store');
  }

  private applyRecordSnapshot(values: readonly StoredValue[]): void {
    const { peerConnections, directory, log, clock, ownDaemonId, registration } = this.parts;
    log.stateChange('daemon records read from the store', { count: values.length });
    const records = values.flatMap(({ value }) => this.parseRecord(value));
    for (const record of records) peerConnections.applyRecord(record, 'stored');
    const storedIds = new Set(records.map(({ daemonId }) => daemonId));
    directory.retainStored(storedIds, clock());
    if (!storedIds.has(ownDaemonId)) registration.scheduleRewrite();
  }

  private applyRecordEvent(event: WatchEvent): void {
    const { peerConnections, directory, log, clock, ownDaemonId, registration } = this.parts;
    if (event.kind === 'put') {
      for (const record of this.parseRecord(event.value))
        peerConnections.applyRecord(record, 'stored');
      return;
    }
    const daemonId = event.key.slice(DAEMON_PREFIX.length);
    log.stateChange('daemon record removed from the store', { peerId: daemonId });
    if (daemonId === ownDaemonId) registration.scheduleRewrite();
    else directory.markRemovedFromStore(daemonId, clock());
  }

  private parseRecord(text: string): DaemonRecord[] {
    const record = decodeRecord(text);
    if (record !== undefined) return [record];
    this.parts.log.warn('malformed daemon record ignored', { source: 'store' });
    return [];
  }
}
