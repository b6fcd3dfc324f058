import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { DaemonRecord } from '@daisyferry/mesh/target-record';
import type { KeyValueStore, StoredValue, WatchEvent } from '@daisyferry/store/key-value-store';
import type { ConfigurationHolder } from './configuration-holder';
import type { EventLog } from './event-log';
import type { Fleet } from './fleet';
import { PrefixFollower } from './prefix-follower';
import { DAEMON_PREFIX, type Registration } from './registration';
import type { StoreState } from './store-state';

export interface StoreSyncParts {
  readonly store: KeyValueStore;
  readonly state: StoreState;
  readonly operatorPrefix: string;
  readonly configurationKey: string;
  readonly configuration: ConfigurationHolder;
  readonly directory: FleetDirectory;
  readonly fleet: Fleet;
  readonly registration: Registration;
  readonly ownDaemonId: string;
  readonly log: EventLog;
  readonly clock: () => number;
}

/** Brings the store's configuration and records of daemons into this process. */
export class StoreSync {
  private readonly followers: readonly PrefixFollower[];

  constructor(private readonly parts: StoreSyncParts) {
    const { store, log, state } = parts;
    const configuration = new PrefixFollower(store, parts.operatorPrefix, {
      onSnapshot: (values) => {
        log.belief('configuration read from the store');
        for (const value of values) this.takeConfiguration(value);
      },
      onEvents: (events) => {
        for (const event of events) this.takeConfiguration(event);
      },
      onLost: (detail) => log.warn('watch of the configuration lost', { detail }),
    });
    const daemons = new PrefixFollower(store, DAEMON_PREFIX, {
      onSnapshot: (values) => {
        state.setFollowing(true);
        this.takeAllRecords(values);
      },
      onEvents: (events) => {
        for (const event of events) this.takeRecord(event);
      },
      onLost: (detail) => {
        state.setFollowing(false);
        log.warn('watch of the daemons lost', { detail });
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

  private takeConfiguration({ key, value }: StoredValue | WatchEvent): void {
    const { configurationKey, configuration } = this.parts;
    if (key === configurationKey && value !== '') configuration.offer(value, 'store');
  }

  private takeAllRecords(values: readonly StoredValue[]): void {
    const { fleet, directory, log, clock, ownDaemonId, registration } = this.parts;
    log.belief('records read from the store', { count: values.length });
    const records = values.flatMap(({ value }) => this.parse(value));
    for (const record of records) fleet.learn(record, 'stored');
    const storedIds = new Set(records.map(({ daemonId }) => daemonId));
    directory.replaceStored(storedIds, clock());
    if (!storedIds.has(ownDaemonId)) registration.lost();
  }

  private takeRecord(event: WatchEvent): void {
    const { fleet, directory, log, clock, ownDaemonId, registration } = this.parts;
    if (event.kind === 'put') {
      for (const record of this.parse(event.value)) fleet.learn(record, 'stored');
      return;
    }
    const daemonId = event.key.slice(DAEMON_PREFIX.length);
    log.belief('record removed from the store', { peerId: daemonId });
    if (daemonId === ownDaemonId) registration.lost();
    else directory.lapse(daemonId, clock());
  }

  private parse(text: string): DaemonRecord[] {
    try {
      return [JSON.parse(text) as DaemonRecord];
    } catch (error) {
      this.parts.log.warn('unreadable record', { error: String(error) });
      return [];
    }
  }
}
