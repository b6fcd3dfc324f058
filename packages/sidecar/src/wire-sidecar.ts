import { randomBytes } from 'node:crypto';
import { ConfigurationFreshness } from '@daisyferry/mesh/configuration-freshness';
import { FreshnessSchedule } from '@daisyferry/mesh/freshness-schedule';
import { DecayingAccountShares } from '@daisyferry/accounts/account-shares';
import { ArrivalRateLimit } from '@daisyferry/mesh/arrival-rate-limit';
import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { connectionLimits } from '@daisyferry/mesh/connection-limits';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import { TargetSlotQueue } from '@daisyferry/mesh/target-slot-queue';
import { RouteCallerCounter } from '@daisyferry/mesh/route-caller-counter';
import { CallTrees } from '@daisyferry/mesh/call-trees';
import { ClassInversions } from '@daisyferry/mesh/class-inversions';
import { CrashSuspects, type CrashReport } from '@daisyferry/mesh/crash-suspects';
import { DownstreamShedLevels } from '@daisyferry/mesh/downstream-shed-levels';
import { ExecutionRecordRegistry } from '@daisyferry/mesh/execution-record-registry';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { LinkPlan } from '@daisyferry/mesh/link-plan';
import { LevelBroadcastThrottle } from '@daisyferry/mesh/level-broadcast-throttle';
import { AnnouncedTarget } from '@daisyferry/mesh/announced-target';
import { MemoryReclaim } from '@daisyferry/mesh/memory-reclaim';
import { RecentMaximum } from '@daisyferry/mesh/recent-maximum';
import type { Moment } from '@daisyferry/mesh/moment';
import { RouteFailureGate } from '@daisyferry/mesh/route-failure-gate';
import type { LinkChange } from '@daisyferry/accounts/daemon-reach';
import type { RoutingConfiguration } from '@daisyferry/mesh/routing-configuration';
import type { ServiceShortage } from '@daisyferry/mesh/shortage-news';
import { ShedLevel } from '@daisyferry/mesh/shed-level';
import { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import { StoreReaderChoice } from '@daisyferry/mesh/store-reader-choice';
import { UnresponsiveTargetDetector } from '@daisyferry/mesh/unresponsive-target-detector';
import { RefusedShare } from '@daisyferry/mesh/refused-share';
import { RetryAfterPlan } from '@daisyferry/mesh/retry-after-plan';
import { LearntCapacity } from '@daisyferry/mesh/learnt-capacity';
import { DestinationSelector } from '@daisyferry/mesh/destination-selector';
import { StopPlan } from '@daisyferry/mesh/stop-plan';
import { SuspectGate } from '@daisyferry/mesh/suspect-gate';
import { TreeAdmission } from '@daisyferry/mesh/tree-admission';
import { TargetChooser } from '@daisyferry/mesh/target-chooser';
import { decodeRecord, decodeShortage, encodeShortage } from '@daisyferry/peering/control-codec';
import { FrameKind } from '@daisyferry/peering/frame';
import { decodeDepartures } from '@daisyferry/peering/record-codec';
import type { KeyValueStore } from '@daisyferry/store/key-value-store';
import { AnnouncementHandler, type AnnouncementDecoder } from './announcement-handler';
import type { ListenerLimits } from './caller-listener-parts';
import { CallerIdentification } from './caller-identification';
import { CallerListener } from './caller-listener';
import type { ResponseFieldNames } from './classify-target-response';
import { ConfigurationHolder } from './configuration-holder';
import { ControlListener } from './control-listener';
import { CutRequestReport } from './cut-requests';
import type { DaemonEnvironment } from './daemon-environment';
import { daemonResponse, DaemonResponseReason } from './daemon-response';
import { DiscardedResponseReport } from './discarded-response-report';
import { Entry, type SidecarEntryParts } from './entry';
import { EventLog } from './event-log';
import { FailureReport } from './failure-report';
import { FreshnessKeeper } from './freshness-keeper';
import { PeerConnections } from './peer-connections';
import type { HeaderNames } from './header-names';
import { LocalTargetNotices } from './local-target-notices';
import { Home } from './home';
import { OwnRecord } from './own-record';
import { PipelineCounts } from './pipeline-counts';
import { QuotaExchange } from './quota-exchange';
import { ReadyState } from './ready-state';
import { RecordSpread } from './record-spread';
import { Registration } from './registration';
import { RetryBudget } from './retry-budget';
import { CurrentBounds } from './settings-reload';
import { addGauges } from './sidecar-gauges';
import type { SidecarMetrics } from './sidecar-metrics';
import { SidecarLifecycle } from './sidecar-lifecycle';
import { Emitter } from './emitter';
import { StoreState } from './store-state';
import { StoreSync } from './store-sync';
import { TargetConnectionPool } from './target-connection-pool';
import { UnreadableEntries } from './unreadable-entries';

/** The platform's store, names and formats, supplied by its adapter. */
export interface PlatformAdapter {
  readonly store: KeyValueStore;
  /** Closes all connections to the store, as one of them may be unresponsive. */
  readonly resetStoreConnections: () => void;
  readonly headerNames: HeaderNames;
  /** Prefix of the operator's keys, which include the key of the configuration. */
  readonly operatorPrefix: string;
  readonly configurationKey: string;
  readonly readinessPath: string;
  readonly decodeConfiguration: (text: string) => RoutingConfiguration;
  readonly announcements: AnnouncementDecoder;
}

/** Limits for callers until a configuration has been applied. */
const DEFAULT_LIMITS: ListenerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
/** Share of the process's memory for the messages that it holds; as much again may not be free yet. */
const BUFFER_SHARE_OF_MEMORY = 0.25;
/** Maximum number of targets that are compared for one call. */
const MAX_CANDIDATES = 12;
/** Daemons that were lost within this time, as in a partition, still have their share of retries. */
const FLEET_SIZE_WINDOW_MS = 30_000;
/** Time between two flushes of the log. */
const LOG_FLUSH_INTERVAL_MS = 1_000;
/** Bounds the round-robin offset by which daemons start at different destinations; a prime. */
const MAX_ROUND_ROBIN_OFFSET = 9_973;
/** Random bytes of the key of this process. */
const PROCESS_KEY_BYTES = 12;
/** Part of the nested retries that is used where entries admit all call trees. */
const UNPLANNED_NESTED_PART = 0.88;
const STATUS_OK = 200;
const STATUS_NOT_READY = 503;

/** Builds one daemon and connects its components. */
export function wireSidecar(
  environment: DaemonEnvironment,
  platform: PlatformAdapter,
  metrics: SidecarMetrics,
  startUnixMs: number,
): SidecarLifecycle {
  const clock = () => performance.now();
  const now = () => ({ monotonicMs: clock(), unixMs: Date.now() });
  const { store, headerNames } = platform;
  const log = new EventLog({ node: environment.daemonId }, clock);
  const failures = new FailureReport(log, metrics, clock);
  const target = new AnnouncedTarget(false);
  const bounds = new CurrentBounds(environment.bounds);
  const fleetSize = new RecentMaximum(FLEET_SIZE_WINDOW_MS);
  const limits = connectionLimits(environment.descriptorLimit, environment.maxCallerConnections);
  const budgetBytes = environment.memoryLimitBytes * BUFFER_SHARE_OF_MEMORY;
  const reclaim = new MemoryReclaim(budgetBytes);
  const bufferBudget = new BufferBudget(
    budgetBytes,
    () => globalThis.gc?.(),
    (missingBytes, claimedBytes) => reclaim.makeRoom(missingBytes, claimedBytes, clock()),
  );
  const responseFieldNames: ResponseFieldNames = {
    requestId: headerNames.requestId.toLowerCase(),
    notRun: headerNames.notRun.toLowerCase(),
    signature: headerNames.signature.toLowerCase(),
  };
  const stopPlan = new StopPlan();
  const pool = new TargetConnectionPool(
    environment.targetAddress,
    responseFieldNames,
    clock,
    bufferBudget,
    new DiscardedResponseReport(log, metrics),
  );
  const refusedShare = new RefusedShare();
  const arrivalLimit = new ArrivalRateLimit();
  const capacity = new LearntCapacity();
  const configuration = new ConfigurationHolder(platform.decodeConfiguration, log, () =>
    metrics.countRejectedInput('configuration'),
  );
  const accountShares = new DecayingAccountShares(
    (account) => configuration.routes?.accountOf(account)?.ratePerS,
  );
  const queue = new TargetSlotQueue(capacity.limit, arrivalLimit, accountShares);
  const targetNotices = new TargetNoticeTable();
  const suspects = new CrashSuspects();
  const crashReports = new Emitter<readonly CrashReport[]>();
  const notices = new LocalTargetNotices(
    {
      rateLimit: headerNames.rateLimit.toLowerCase(),
      leaving: headerNames.leaving.toLowerCase(),
    },
    log,
  );
  const directory = new FleetDirectory();
  const storeState = new StoreState();
  const shedLevel = new ShedLevel();
  const levelChanges = new Emitter<number>();
  const shortageNews = new Emitter<readonly ServiceShortage[]>();
  const recordMissing = new Emitter<undefined>();
  const downstreamLevels = new DownstreamShedLevels();
  // Short, as calls between data centres carry it.
  const processKey = randomBytes(PROCESS_KEY_BYTES).toString('base64url');
  const knownFleetSize = () => fleetSize.record(directory.size, clock());
  const treeAdmission = new TreeAdmission({
    bounds: () => bounds.get(),
    fleetSize: knownFleetSize,
    isEnforced: environment.admitsByCallTree === true,
    onChange: (service, isShort, share) =>
      log.stateChange(isShort ? 'service short for call trees' : 'service no longer short', {
        service,
        refusedShare: Math.round(share * 100) / 100,
      }),
  });
  const retryBudget = new RetryBudget(
    () => bounds.get(),
    knownFleetSize,
    (service) => treeAdmission.areCallersFirst(service),
    environment.admitsByCallTree === true ? 1 : UNPLANNED_NESTED_PART,
  );
  const callTrees = new CallTrees((service, nowMs) => retryBudget.nestedPace(service, nowMs));
  const ownRecord = new OwnRecord(environment, target, startUnixMs, clock);
  const chooser = new TargetChooser(
    directory,
    { ownZone: environment.zone, maxCandidates: MAX_CANDIDATES, notices: targetNotices },
    Math.random,
  );
  const home = new Home({
    target,
    pool,
    queue,
    arrivalLimit,
    capacity,
    nestedCallCount: () => chooser.nestedCallCount,
    refusedShare,
    accountShares,
    routeCallers: new RouteCallerCounter(),
    callTrees,
    unresponsiveDetector: new UnresponsiveTargetDetector(),
    shedLevel,
    downstreamLevels,
    classCount: () => configuration.routes?.classCount ?? 1,
    executionRecords: new ExecutionRecordRegistry(),
    headerNames,
    responseFieldNames,
    notices,
    suspects,
    suspectGate: new SuspectGate({
      suspects,
      trialHomeOf: (service, fingerprint) => chooser.trialHomeOf(service, fingerprint),
      ownDaemonId: environment.daemonId,
    }),
    onCrashReports: (reports) => crashReports.emit(reports),
    stopPlan,
    log,
    clock,
    onTargetChange: () => ownRecord.publish(),
    levelThrottle: new LevelBroadcastThrottle(),
    onShedLevel: (level) => levelChanges.emit(level),
    onShortages: (shortages) => shortageNews.emit(shortages),
  });
  const publishTarget = (isServing: boolean) => {
    const slots = target.announcement?.slots;
    if (slots !== undefined) capacity.setSlots(slots);
    queue.setLimit(capacity.limit, clock());
    if (!isServing) queue.refuseAll(CallRefusalReason.leaving);
    ownRecord.publish();
  };
  const confirmTarget = () => {
    if (target.confirm()) publishTarget(true);
  };
  ownRecord.subscribeTargetEnds(() => publishTarget(false));
  const linkChanges = new Emitter<readonly [daemonId: string, change: LinkChange]>();
  const peerConnections = new PeerConnections({
    directory,
    targetNotices,
    suspects,
    random: Math.random,
    ownRecord,
    processKey,
    home,
    bufferBudget,
    maxStrangers: limits.strangers,
    configuration,
    failures,
    log,
    clock,
    linkPlan: new LinkPlan(directory, {
      ownDaemonId: environment.daemonId,
      ownZone: environment.zone,
      isReading: () => storeState.isWatching,
      isServiceUsed: (service) => chooser.isServiceUsed(service),
    }),
    isReading: () => storeState.isWatching,
    onShedLevel: (daemonId, level, nowMs) => {
      chooser.recordShedLevel(daemonId, level, nowMs);
      const service = directory.recordOf(daemonId)?.target?.service;
      if (service !== undefined)
        downstreamLevels.refreshLevel(service, chooser.shedLevelOf(service, nowMs), nowMs);
    },
    onDaemonRemoved: (daemonId) => chooser.remove(daemonId),
    onLinkChange: (daemonId, change) => linkChanges.emit([daemonId, change]),
    onRecordMissing: () => recordMissing.emit(undefined),
    onEarlierRecord: confirmTarget,
  });
  const quotas = new QuotaExchange({
    ownDaemonId: environment.daemonId,
    ownZone: environment.zone,
    directory,
    peers: peerConnections,
    routes: () => configuration.routes,
    windowMs: () => bounds.get().quotaWindowMs,
    log,
    clock,
  });
  const registration = new Registration({
    store,
    minLeaseMs: environment.store.minLeaseMs,
    ownRecord: () => ownRecord.record(),
    onEarlier: ({ recordText, departuresText }) => {
      const earlier = recordText === undefined ? undefined : decodeRecord(recordText);
      if (earlier !== undefined) ownRecord.supersede(earlier);
      if (departuresText !== undefined) ownRecord.restoreEnded(decodeDepartures(departuresText));
      confirmTarget();
    },
    onEarlierOverdue: () => {
      if (target.confirmOnceRepeated()) publishTarget(true);
    },
    onUnresponsiveStore: platform.resetStoreConnections,
    log,
    random: Math.random,
    clock,
  });
  store.onRestored?.(() => {
    log.stateChange('store came back from an older copy');
    registration.renewAfterRestore();
  });
  store.onRejectedResponse?.((cause, detail) =>
    log.warn('response of the store rejected', { cause, detail }),
  );
  recordMissing.subscribe(() => registration.scheduleRewrite());
  const configurationReads = new Emitter<Moment>();
  const unreadableEntries = new UnreadableEntries();
  const storeSync = new StoreSync({
    store,
    storeState,
    operatorPrefix: platform.operatorPrefix,
    configurationKey: platform.configurationKey,
    configuration,
    directory,
    peerConnections,
    registration,
    unreadableEntries,
    failures,
    readerChoice: new StoreReaderChoice(environment.daemonId, Math.random),
    ownDaemonId: environment.daemonId,
    log,
    clock,
    now,
    onConfigurationRead: (begunAt) => configurationReads.emit(begunAt),
  });
  const freshnessKeeper = new FreshnessKeeper({
    ownDaemonId: environment.daemonId,
    freshness: new ConfigurationFreshness(),
    schedule: new FreshnessSchedule(Math.random),
    store,
    configurationKey: platform.configurationKey,
    configuration,
    peers: peerConnections,
    applyMs: () => bounds.get().applyMs,
    withdrawalMs: () => bounds.get().withdrawalMs,
    isFollowing: () => storeSync.isFollowing,
    onUntoldChange: () => storeSync.expectChange(),
    fleetSize: () => (peerConnections.connectedCount === 0 ? 1 : directory.size),
    random: Math.random,
    log,
    now,
  });
  configurationReads.subscribe((begunAt) => freshnessKeeper.recordRead(begunAt));
  const identification = new CallerIdentification({
    freshness: freshnessKeeper,
    headerNames,
    random: Math.random,
    log,
    metrics,
  });
  const returnPlan = new RetryAfterPlan(Math.random);
  const entryParts: SidecarEntryParts = {
    routes: () => configuration.routes,
    destinations: new DestinationSelector(startUnixMs % MAX_ROUND_ROBIN_OFFSET),
    chooser,
    targetNotices,
    suspects,
    downstreamLevels,
    random: Math.random,
    failureGate: new RouteFailureGate(Math.random),
    callTrees,
    treeAdmission,
    classInversions: new ClassInversions(),
    retryBudget,
    originOf: (requestId) => home.originOf(requestId),
    returnPlan,
    quotas: quotas.gate,
    transport: peerConnections,
    headerNames,
    callerService: environment.service,
    attemptKeyPrefix: `${processKey}/`,
    stopPlan,
    log,
    metrics,
    clock,
  };
  const entry = new Entry(entryParts, identification);
  const pipelineCounts = new PipelineCounts();
  const cutRequests = new CutRequestReport(responseFieldNames.requestId, log, metrics);
  const callers = new CallerListener({
    handle: (request, respond, readMs) => {
      try {
        return entry.handle(request, respond, readMs);
      } catch (error) {
        const { host, method } = request.head;
        failures.report('request', error, { host, method });
        respond(daemonResponse(DaemonResponseReason.outcomeUnknown, 0));
        return undefined;
      }
    },
    failures,
    mayRunAhead: (request) => entry.mayRunAhead(request),
    pipelineCounts,
    limits: () => configuration.routes?.configuration.limits ?? DEFAULT_LIMITS,
    bufferBudget,
    requestIdField: headerNames.requestId,
    maxConnections: limits.callers,
    onResponseWithoutMemory: (bytes) =>
      log.decision('no memory for a response', { bytes, heldBytes: bufferBudget.usedBytes }),
    onProblem: (detail) => log.decision('request rejected', { detail }),
    onSurplusResponse: (status) =>
      log.decision('second response to a request of a caller dropped', { status }),
    onCut: (cut) => cutRequests.record(cut),
    clock,
  });
  reclaim.searchAmong(() => callers.memoryHolders);
  const recordSpread = new RecordSpread({
    isPeerConnected: () => peerConnections.hasConnectedPeer,
    isStored: () => registration.isStored,
    writeNow: () => registration.writeNow(),
    clock,
  });
  const announcementHandler = new AnnouncementHandler({
    target,
    decoder: platform.announcements,
    isKnownService: (service) =>
      service === environment.service ||
      configuration.routes?.configuration.services.some(({ name }) => name === service) === true,
    onReplaced: (wasEndExpected) => home.forgetTarget(wasEndExpected),
    onRejected: () => metrics.countRejectedInput('announcement'),
    onChange: publishTarget,
    whenStored: () => recordSpread.whenStored(),
    whenKnown: () => recordSpread.whenKnown(),
    log,
    clock,
  });
  const readyState = new ReadyState(
    () => configuration.version > 0 && freshnessKeeper.isProven(),
    () => storeState.isWatching || peerConnections.connectedCount > 0,
  );

  ownRecord.subscribe((record) => {
    directory.applyRecord(record, 'direct', clock());
    directory.setConnected(ownRecord.daemonId, true, clock());
    peerConnections.records.broadcastOwnRecord();
    registration.scheduleWrite();
  });
  crashReports.subscribe((reports) => peerConnections.crashes.spread(reports));
  shortageNews.subscribe((shortages) => {
    for (const shortage of shortages) {
      callTrees.recordShortage(shortage, clock());
      peerConnections.sendToEntries(FrameKind.shortage, encodeShortage(shortage));
    }
  });
  peerConnections.setHandler(FrameKind.shortage, ({ head }) => {
    const shortage = decodeShortage(head);
    if (shortage !== undefined) callTrees.recordShortage(shortage, clock());
  });
  levelChanges.subscribe((level) => peerConnections.broadcastShedLevel(level));
  configuration.subscribe((version) => peerConnections.configurations.reportVersion(version));
  configuration.subscribe(() => quotas.applyConfiguration());
  linkChanges.subscribe(([daemonId, change]) => quotas.handleLink(daemonId, change));
  metrics.addLines(() => quotas.metricLines());
  const announcements = new ControlListener(
    (request) => announcementHandler.handle(request),
    (error, input) => failures.report('announcements', error, { input }),
    limits.control,
  );
  const readiness = new ControlListener(
    ({ path }) => ({
      status: path === platform.readinessPath && readyState.isReady ? STATUS_OK : STATUS_NOT_READY,
      text: '{}',
    }),
    (error, input) => failures.report('readiness', error, { input }),
    limits.control,
  );
  addGauges(metrics, {
    queue,
    home,
    refusedShare,
    treeAdmission,
    capacity,
    suspects,
    pool,
    notices,
    bufferBudget,
    reclaim,
    limits,
    returnPlan,
    pipelineCounts,
    peerConnections,
    directory,
    configuration,
    freshnessKeeper,
    callers,
    controlListeners: [announcements, readiness],
    unreadableEntries,
    clock,
  });

  return new SidecarLifecycle({
    environment,
    bounds,
    peerConnections,
    registration,
    storeSync,
    freshnessKeeper,
    callers,
    entry,
    home,
    ownRecord,
    failures,
    log,
    announcements,
    readiness,
    readyState,
    stopPlan,
    logFlushIntervalMs: LOG_FLUSH_INTERVAL_MS,
    clock,
  });
}
