import { RefusalReason } from '@daisyferry/mesh/call';
import { AdmissionQueue } from '@daisyferry/mesh/admission-queue';
import { CallerTally } from '@daisyferry/mesh/caller-tally';
import { DownstreamLevel } from '@daisyferry/mesh/downstream-level';
import { ExecutionLedger } from '@daisyferry/mesh/execution-ledger';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { LevelNotice } from '@daisyferry/mesh/level-notice';
import { LocalTarget } from '@daisyferry/mesh/local-target';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import { ShedLevel } from '@daisyferry/mesh/shed-level';
import { SilenceWatch } from '@daisyferry/mesh/silence-watch';
import { ServiceTimes } from '@daisyferry/mesh/service-times';
import { SplitWheels } from '@daisyferry/mesh/split-wheels';
import { TargetChooser } from '@daisyferry/mesh/target-chooser';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { AnnouncementDesk, type AnnouncementDecoder } from './announcement-desk';
import type { ListenerLimits } from './caller-connection';
import { CallerListener } from './caller-listener';
import { ConfigurationHolder } from './configuration-holder';
import { ControlListener } from './control-listener';
import type { DaemonEnvironment } from './daemon-environment';
import { Entry } from './entry';
import { EventLog } from './event-log';
import { Fleet } from './fleet';
import type { HeaderNames } from './header-names';
import { Home } from './home';
import { OwnRecord } from './own-record';
import { ReadyState } from './ready-state';
import { Registration } from './registration';
import { RetryBudget } from './retry-budget';
import type { SidecarMetrics } from './sidecar-metrics';
import { SidecarLife } from './sidecar-life';
import { Signal } from './signal';
import { StoreState } from './store-state';
import { StoreSync } from './store-sync';
import { TargetPool } from './target-pool';

/** What the platform's adapter supplies. */
export interface PlatformAdapter {
  readonly store: KeyValueStore;
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
/** Share of its slots up to which a target is filled: some slow down when nearly full. */
const FILL_SHARE = 0.95;
/** Time between two flushes of the log, in ms. */
const FLUSH_MS = 1_000;
/** Daemons start dealing split routes at different places; a prime spreads them well. */
const INCARNATION_SPREAD = 9_973;
const STATUS_OK = 200;
const STATUS_NOT_READY = 503;

/** Builds one daemon out of its parts. */
export function wireSidecar(
  environment: DaemonEnvironment,
  platform: PlatformAdapter,
  metrics: SidecarMetrics,
  startUnixMs: number,
): SidecarLife {
  const clock = () => performance.now();
  const { store, headerNames } = platform;
  const log = new EventLog({ node: environment.daemonId }, clock);
  const target = new LocalTarget();
  const pool = new TargetPool(
    environment.targetAddress,
    headerNames.requestId.toLowerCase(),
    clock,
  );
  const queue = new AdmissionQueue(INITIAL_SLOTS);
  const directory = new FleetDirectory();
  const state = new StoreState();
  const shedLevel = new ShedLevel();
  const levelChanges = new Signal<number>();
  const downstream = new DownstreamLevel();
  const configuration = new ConfigurationHolder(platform.decodeConfiguration, log);
  const own = new OwnRecord(environment, target, startUnixMs, clock);
  const home = new Home({
    target,
    pool,
    queue,
    serviceTimes: new ServiceTimes(),
    callers: new CallerTally(),
    silence: new SilenceWatch(),
    shedLevel,
    downstream,
    classCount: () => configuration.routes?.classCount ?? 1,
    ledger: new ExecutionLedger(),
    headerNames,
    answerFields: {
      notRun: headerNames.notRun.toLowerCase(),
      signature: headerNames.signature.toLowerCase(),
    },
    log,
    clock,
    onTargetChange: () => own.changed(),
    levelNotice: new LevelNotice(),
    onLevel: (level) => levelChanges.emit(level),
  });
  const chooser = new TargetChooser(
    directory,
    { ownZone: environment.zone, maxCandidates: MAX_CANDIDATES },
    Math.random,
  );
  const fleet = new Fleet({
    directory,
    own,
    home,
    configuration,
    log,
    clock,
    followsStore: () => state.isFollowing,
    onSilence: platform.resetStore,
    onLevel: (daemonId, level, nowMs) => {
      chooser.learnLevel(daemonId, level, nowMs);
      const service = directory.get(daemonId)?.target?.service;
      if (service !== undefined)
        downstream.refresh(service, chooser.levelOf(service, nowMs), nowMs);
    },
    onGone: (daemonId) => chooser.forget(daemonId),
  });
  const registration = new Registration(
    store,
    environment.store.minLeaseMs,
    () => own.record(),
    platform.resetStore,
    log,
  );
  const storeSync = new StoreSync({
    store,
    state,
    operatorPrefix: platform.operatorPrefix,
    configurationKey: platform.configurationKey,
    configuration,
    directory,
    fleet,
    registration,
    ownDaemonId: environment.daemonId,
    log,
    clock,
  });
  const entry = new Entry({
    routes: () => configuration.routes,
    wheels: new SplitWheels(startUnixMs % INCARNATION_SPREAD),
    chooser,
    downstream,
    random: Math.random,
    budget: new RetryBudget(
      environment.bounds.retryRatio,
      environment.bounds.retrySlack / (2 * ASSUMED_DAEMONS),
    ),
    transport: fleet,
    headerNames,
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
      if (slots !== undefined) queue.setLimit(Math.floor(slots * FILL_SHARE), clock());
      if (!isServing) queue.refuseAll(RefusalReason.leaving);
      own.changed();
    },
    log,
    clock,
  });
  const readyState = new ReadyState(
    () => configuration.version > 0,
    () => state.isFollowing || fleet.connectedCount > 0,
  );

  own.subscribe((record) => {
    directory.learn(record, 'direct', clock());
    directory.setConnected(own.daemonId, true, clock());
    fleet.announceOwn();
    registration.changed();
  });
  levelChanges.subscribe((level) => fleet.announceLevel(level));
  configuration.subscribe((version) => fleet.announceConfiguration(version));
  metrics.addGauge('daisyferry_target_running', () => queue.running);
  metrics.addGauge('daisyferry_shed_level', () => home.level(clock()));
  metrics.addGauge('daisyferry_target_waiting', () => queue.waitingCount);
  metrics.addGauge('daisyferry_target_connections_opened', () => pool.openedCount);
  metrics.addGauge('daisyferry_peers_connected', () => fleet.connectedCount);
  metrics.addGauge('daisyferry_daemons_known', () => directory.size);
  metrics.addGauge('daisyferry_configuration_version', () => configuration.version);
  metrics.addGauge('daisyferry_caller_connections', () => callers.connectionCount);

  return new SidecarLife({
    environment,
    fleet,
    registration,
    storeSync,
    callers,
    entry,
    home,
    own,
    log,
    announcements: new ControlListener((request) => desk.handle(request)),
    readiness: new ControlListener(({ path }) => ({
      status: path === platform.readinessPath && readyState.isReady ? STATUS_OK : STATUS_NOT_READY,
      text: '{}',
    })),
    state: readyState,
    flushMs: FLUSH_MS,
    clock,
  });
}
