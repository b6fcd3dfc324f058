import { AdmissionQueue } from '@daisyferry/mesh/admission-queue';
import { ExecutionLedger } from '@daisyferry/mesh/execution-ledger';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { LocalTarget } from '@daisyferry/mesh/local-target';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import { SplitWheels } from '@daisyferry/mesh/split-wheels';
import { TargetChooser } from '@daisyferry/mesh/target-chooser';
import type { DaemonRecord } from '@daisyferry/mesh/target-record';
import type { PlatformStore, StoredValue, WatchEvent } from '@daisyferry/store/platform-store';
import { AnnouncementDesk, type AnnouncementDecoder } from './announcement-desk';
import { CallerListener, type ListenerLimits } from './caller-listener';
import { ConfigurationHolder } from './configuration-holder';
import { ControlListener } from './control-listener';
import type { DaemonEnvironment } from './daemon-environment';
import { Entry } from './entry';
import { EventLog } from './event-log';
import { Fleet } from './fleet';
import type { HeaderNames } from './header-names';
import { Home } from './home';
import { OwnRecord } from './own-record';
import { PrefixFollower } from './prefix-follower';
import { DAEMON_PREFIX, Registration } from './registration';
import { RetryBudget } from './retry-budget';
import type { SidecarMetrics } from './sidecar-metrics';
import { SidecarLife } from './sidecar-life';
import { TargetPool } from './target-pool';

/** What the platform's adapter supplies. */
export interface PlatformAdapter {
  readonly store: PlatformStore;
  /** Breaks all connections to the store, as one of them has gone silent. */
  readonly resetStore: () => void;
  readonly headerNames: HeaderNames;
  /** Prefix of the operator's keys, and the key of the configuration among them. */
  readonly operatorPrefix: string;
  readonly configurationKey: string;
  readonly readinessPath: string;
  readonly decodeConfiguration: (text: string) => RoutingConfiguration;
  readonly announcements: AnnouncementDecoder;
}

/** Limits for callers until a configuration is known. */
const DEFAULT_LIMITS: ListenerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Slots assumed until the target tells its own. */
const INITIAL_SLOTS = 16;
/** Targets that one choice compares at the most. */
const MAX_CANDIDATES = 12;
/** Daemons assumed for the share of common retries until more are known. */
const ASSUMED_DAEMONS = 30;
/** Time between two flushes of the log, in ms. */
const FLUSH_MS = 1_000;
const INCARNATION_SPREAD = 9_973;

/** Builds one daemon out of its parts. */
export function wireSidecar(
  environment: DaemonEnvironment,
  platform: PlatformAdapter,
  metrics: SidecarMetrics,
  startUnixMs: number,
): SidecarLife {
  const clock = () => performance.now();
  const log = new EventLog({ daemonId: environment.daemonId }, clock);
  const target = new LocalTarget();
  const requestIdField = platform.headerNames.requestId.toLowerCase();
  const pool = new TargetPool(environment.targetAddress, requestIdField, clock);
  const queue = new AdmissionQueue(INITIAL_SLOTS);
  const directory = new FleetDirectory();

  const own: OwnRecord = new OwnRecord(environment, target, startUnixMs, () => ownChanged(), clock);
  const home = new Home({
    target,
    pool,
    queue,
    ledger: new ExecutionLedger(),
    headerNames: platform.headerNames,
    answerFields: {
      notRun: platform.headerNames.notRun.toLowerCase(),
      signature: platform.headerNames.signature.toLowerCase(),
    },
    log,
    clock,
    onTargetChange: () => own.changed(),
  });
  const chooser = new TargetChooser(
    directory,
    { ownZone: environment.zone, maxCandidates: MAX_CANDIDATES },
    Math.random,
  );
  const configuration: ConfigurationHolder = new ConfigurationHolder(
    platform.decodeConfiguration,
    (version) => fleet.announceConfiguration(version),
    log,
  );
  const fleet: Fleet = new Fleet({
    directory,
    own,
    home,
    configuration,
    log,
    clock,
    followsStore: () => daemonFollower.isFollowing,
    onSilence: platform.resetStore,
    onGone: (daemonId) => chooser.forget(daemonId),
  });
  const registration = new Registration(
    platform.store,
    () => own.record(),
    platform.resetStore,
    log,
  );

  function ownChanged(): void {
    directory.learn(own.record(), 'direct', clock());
    directory.setConnected(own.daemonId, true, clock());
    fleet.announceOwn();
    registration.changed();
  }

  const configurationFollower = new PrefixFollower(platform.store, platform.operatorPrefix, {
    onSnapshot: (values) => {
      log.belief('configuration read from the store');
      values.forEach(takeConfiguration);
    },
    onEvents: (events) => events.forEach(takeConfiguration),
    onLost: (detail) => log.warn('watch of the configuration lost', { detail }),
  });
  function takeConfiguration({ key, value }: StoredValue | WatchEvent): void {
    if (key === platform.configurationKey && value !== '') configuration.offer(value, 'store');
  }

  const daemonFollower = new PrefixFollower(platform.store, DAEMON_PREFIX, {
    onSnapshot: (values) => {
      log.belief('records read from the store', { count: values.length });
      const records = values.flatMap(({ value }) => parseRecord(value));
      records.forEach((record) => fleet.learn(record, 'stored'));
      directory.replaceStored(new Set(records.map(({ daemonId }) => daemonId)), clock());
    },
    onEvents: (events) => events.forEach(takeRecord),
    onLost: (detail) => log.warn('watch of the daemons lost', { detail }),
  });
  function takeRecord(event: WatchEvent): void {
    if (event.kind === 'put') {
      parseRecord(event.value).forEach((record) => fleet.learn(record, 'stored'));
      return;
    }
    const daemonId = event.key.slice(DAEMON_PREFIX.length);
    log.belief('record removed from the store', { daemonId });
    if (daemonId === own.daemonId) registration.lost();
    else directory.lapse(daemonId, clock());
  }
  function parseRecord(text: string): DaemonRecord[] {
    try {
      return [JSON.parse(text) as DaemonRecord];
    } catch (error) {
      log.warn('unreadable record', { error: String(error) });
      return [];
    }
  }

  const entry = new Entry({
    routes: () => configuration.routes,
    wheels: new SplitWheels(startUnixMs % INCARNATION_SPREAD),
    chooser,
    budget: new RetryBudget(
      environment.bounds.retryRatio,
      environment.bounds.retrySlack / (2 * ASSUMED_DAEMONS),
    ),
    transport: fleet,
    headerNames: platform.headerNames,
    callerService: environment.service,
    log,
    metrics,
    clock,
  });
  const callers = new CallerListener({
    handle: (request, answer) => entry.handle(request, answer),
    limits: () => configuration.routes?.configuration.limits ?? DEFAULT_LIMITS,
    onProblem: (detail) => log.decision('request rejected', { detail }),
    clock,
  });

  const desk = new AnnouncementDesk({
    target,
    decoder: platform.announcements,
    isKnownService: (service) =>
      service === environment.service ||
      configuration.routes?.configuration.services.some(({ name }) => name === service) === true,
    onChange: (isServing) => {
      const slots = target.announcement?.slots;
      if (slots !== undefined) queue.setLimit(slots, clock());
      if (!isServing) queue.refuseAll('leaving');
      own.changed();
    },
    log,
    clock,
  });
  const life: SidecarLife = new SidecarLife({
    environment,
    fleet,
    registration,
    followers: [configurationFollower, daemonFollower],
    callers,
    entry,
    home,
    own,
    log,
    announcements: new ControlListener((request) => desk.handle(request)),
    readiness: new ControlListener(({ path }) =>
      path === platform.readinessPath && life.isReady
        ? { status: 200, text: '{}' }
        : { status: 503, text: '{}' },
    ),
    hasConfiguration: () => configuration.version > 0,
    knowsFleet: () => daemonFollower.isFollowing || fleet.connectedCount > 0,
    flushMs: FLUSH_MS,
  });
  metrics.addGauge('daisyferry_target_running', () => queue.running);
  metrics.addGauge('daisyferry_target_waiting', () => queue.waitingCount);
  metrics.addGauge('daisyferry_target_connections_opened', () => pool.openedCount);
  metrics.addGauge('daisyferry_peers_connected', () => fleet.connectedCount);
  metrics.addGauge('daisyferry_daemons_known', () => directory.size);
  metrics.addGauge('daisyferry_configuration_version', () => configuration.version);
  metrics.addGauge('daisyferry_caller_connections', () => callers.connectionCount);
  return life;
}
