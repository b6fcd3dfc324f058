import { StopPhase, type StopPhaseName, type StopPlan } from '@daisyferry/mesh/stop-plan';
import type { CallerListener } from './caller-listener';
import type { ControlListener } from './control-listener';
import type { DaemonEnvironment } from './daemon-environment';
import type { Entry } from './entry';
import type { EventLog } from './event-log';
import type { FailureReport } from './failure-report';
import type { FreshnessKeeper } from './freshness-keeper';
import type { PeerConnections } from './peer-connections';
import type { Home } from './home';
import type { OwnRecord } from './own-record';
import type { ReadyState } from './ready-state';
import type { Registration } from './registration';
import { compareSettings, type CurrentBounds } from './settings-reload';
import type { StoreSync } from './store-sync';

export interface SidecarLifecycleParts {
  readonly environment: DaemonEnvironment;
  readonly bounds: CurrentBounds;
  readonly peerConnections: PeerConnections;
  readonly registration: Registration;
  readonly storeSync: StoreSync;
  readonly freshnessKeeper: FreshnessKeeper;
  readonly callers: CallerListener;
  readonly entry: Entry;
  readonly home: Home;
  readonly ownRecord: OwnRecord;
  readonly failures: FailureReport;
  readonly log: EventLog;
  readonly announcements: ControlListener;
  readonly readiness: ControlListener;
  readonly readyState: ReadyState;
  readonly stopPlan: StopPlan;
  readonly logFlushIntervalMs: number;
  readonly clock: () => number;
}

/** Time between two checks of the work in progress while stopping. */
const STOP_CHECK_INTERVAL_MS = 50;

/** Turns of the event loop in which a connection is accepted, read, and its request passed on. */
const RECEIVE_TURNS = 3;
/** Phases in which connections are accepted. */
const PHASES_THAT_LISTEN: ReadonlySet<StopPhaseName> = new Set([
  StopPhase.notice,
  StopPhase.peerNotice,
]);
/** Longest time for which further connections are accepted, one in a turn, or data is read. */
const MAX_RECEIVE_MS = 200;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

const LifecycleState = {
  created: 'created',
  starting: 'starting',
  running: 'running',
  stopping: 'stopping',
  stopped: 'stopped',
} as const;

type LifecycleStateName = (typeof LifecycleState)[keyof typeof LifecycleState];

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Starts one daemon and stops it gracefully. */
export class SidecarLifecycle {
  private flushTimer: NodeJS.Timeout | undefined;

  private state: LifecycleStateName = LifecycleState.created;

  private stateSinceMs: number;

  private started: Promise<void> | undefined;

  private stopped: Promise<void> | undefined;

  /** Resolves once all peers have ended their connections. */
  private peersEnded: Promise<void> = Promise.resolve();

  constructor(private readonly parts: SidecarLifecycleParts) {
    this.stateSinceMs = parts.clock();
  }

  start(): Promise<void> {
    this.started ??= this.runStart();
    return this.started;
  }

  /** True from the call of `start` on. */
  get hasStarted(): boolean {
    return this.started !== undefined;
  }

  private async runStart(): Promise<void> {
    this.setState(LifecycleState.starting);
    const { environment, peerConnections, callers, announcements, readiness, log } = this.parts;
    const { listen } = environment;
    await Promise.all([
      peerConnections.start(listen.peers),
      callers.listen(listen.callers),
      announcements.listen(listen.announcements),
      readiness.listen(listen.readiness),
    ]);
    this.parts.ownRecord.publish();
    this.parts.registration.start();
    this.parts.storeSync.start();
    this.parts.freshnessKeeper.start();
    this.flushTimer = setInterval(() => log.flush(), this.parts.logFlushIntervalMs);
    log.stateChange('started', { environment });
    if (this.stopped === undefined) this.setState(LifecycleState.running);
  }

  /** Logs a signal that the process received, with the state that the daemon is in. */
  recordSignal(signal: string): void {
    const stateForMs = Math.round(this.parts.clock() - this.stateSinceMs);
    this.parts.log.stateChange('signal received', { signal, state: this.state, stateForMs });
  }

  /** Logs a fault that the daemon serves on with. */
  recordProblem(message: string, problem: string): void {
    this.parts.log.warn(message, { problem });
  }

  /** Logs why the process ends, before it does. */
  recordProcessEnd(cause: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.parts.log.processEnd(cause, { state: this.state, ...fields });
  }

  /** Applies the bounds of a settings file that was read again; the rest needs a restart. */
  reloadSettings(next: DaemonEnvironment): void {
    const { environment, bounds, log } = this.parts;
    const { applied, needsRestart } = compareSettings(environment, bounds.get(), next);
    bounds.set(next.bounds);
    log.stateChange('settings reloaded', { applied, needsRestart });
  }

  /** Logs that a settings file that was read again is invalid; the previous ones stay in force. */
  rejectSettings(problem: string): void {
    this.parts.log.warn('settings invalid; keeping the previous ones', { problem });
  }

  /** Reports an error that no part has handled. */
  reportFailure(origin: string, error: unknown): void {
    this.parts.failures.report(origin, error);
  }

  /**
   * Finishes the work in progress and stops, within the grace time. Each further call returns the
   * promise of the first: a stop in progress is never shortened.
   */
  stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const { stopPlan, bounds, readyState, callers, peerConnections, registration, clock } =
      this.parts;
    stopPlan.begin(bounds.get().graceMs, clock());
    readyState.beginStop();
    this.setState(LifecycleState.stopping);
    this.logStop('stopping');
    callers.isClosing = true;
    // What is accepted during a start is finished, too.
    if (this.started !== undefined) await this.started.catch(() => undefined);
    let phase: StopPhaseName = StopPhase.notice;
    while (phase !== StopPhase.ended) {
      const next = stopPlan.phaseAfter(phase, this.hasWork, clock());
      if (next === phase) {
        const waitedFromMs = clock();
        await delay(STOP_CHECK_INTERVAL_MS);
        stopPlan.recordLateness(clock() - waitedFromMs - STOP_CHECK_INTERVAL_MS);
        this.endConnections(phase);
      } else {
        // After a pause of the process, timers come before what has arrived meanwhile.
        await this.receivePending(PHASES_THAT_LISTEN.has(phase));
        if (stopPlan.phaseAfter(phase, this.hasWork, clock()) === next) {
          phase = next;
          this.attempt(next, () => this.enterPhase(next));
        }
      }
    }
    // Requests that waited behind those calls on their connections are refused.
    await this.receivePending(false);
    callers.closeConnections();
    const ended = Promise.all([registration.stop(), this.peersEnded]);
    const endTimeoutMs = stopPlan.removalTimeoutMs(clock());
    if (endTimeoutMs > 0) await Promise.race([ended, delay(endTimeoutMs)]);
    else ended.catch(() => undefined);
    peerConnections.close();
    this.parts.announcements.close();
    this.parts.readiness.close();
    clearInterval(this.flushTimer);
    this.logStop('stopped');
    this.setState(LifecycleState.stopped);
    this.parts.log.flushSync();
  }

  /**
   * Lets the event loop read what has arrived. Connections that wait are accepted in one turn and read in
   * a later one; without them, turns that are long are few, as the grace ends.
   */
  private async receivePending(mayAccept: boolean): Promise<void> {
    const { callers, clock } = this.parts;
    const untilMs = clock() + MAX_RECEIVE_MS;
    let { acceptedCount } = callers;
    for (let turn = 0; turn < RECEIVE_TURNS; turn += 1) {
      await nextTurn();
      if (!mayAccept && clock() >= untilMs) return;
      if (callers.acceptedCount !== acceptedCount && clock() < untilMs) {
        acceptedCount = callers.acceptedCount;
        turn = -1;
      }
    }
  }

  /**
   * True while something that was accepted has no answer that is sent whole, or one that its caller
   * may not have read: the end of the process closes all sockets.
   */
  private get hasWork(): boolean {
    const { entry, home, callers, peerConnections, clock } = this.parts;
    return (
      entry.activeCount > 0 ||
      home.activeCount > 0 ||
      callers.unansweredCount > 0 ||
      callers.hasUnsentBytes ||
      callers.readAfterEndCount(clock()) > 0 ||
      peerConnections.hasUnsentReplies
    );
  }

  /** A step that fails does not end a stop, and with it what is in progress. */
  private attempt(phase: StopPhaseName, step: () => void): void {
    try {
      step();
    } catch (error) {
      this.parts.failures.report('stop', error, { phase });
    }
  }

  private enterPhase(phase: StopPhaseName): void {
    const { callers, ownRecord, entry, home, clock } = this.parts;
    this.logStop('stop phase', phase);
    switch (phase) {
      case StopPhase.notice:
        return;
      case StopPhase.peerNotice:
        ownRecord.publishLeaving();
        return;
      case StopPhase.finishing:
        callers.stopListening();
        this.endConnections(phase);
        return;
      case StopPhase.refusing:
        home.refuseWaiting();
        entry.refuseUnsent(clock());
        this.endConnections(phase);
        return;
      case StopPhase.breaking:
        home.breakOff();
        return;
      case StopPhase.ended:
        this.stopListeners();
        return;
      default:
        phase satisfies never;
    }
  }

  /** Ends the connections of callers that are idle, and refuses late what arrives slowly. */
  private endConnections(phase: StopPhaseName): void {
    const { callers } = this.parts;
    this.attempt(phase, () => {
      if (phase === StopPhase.finishing) callers.endIdle();
      if (phase === StopPhase.refusing || phase === StopPhase.breaking) callers.refuseArriving();
    });
  }

  /** Ends all that could still accept something; calls at other daemons get their outcome. */
  private stopListeners(): void {
    const { callers, home, peerConnections, storeSync, freshnessKeeper } = this.parts;
    home.close();
    callers.close();
    storeSync.stop();
    freshnessKeeper.stop();
    this.peersEnded = peerConnections.stop();
  }

  private setState(state: LifecycleStateName): void {
    this.state = state;
    this.stateSinceMs = this.parts.clock();
  }

  /** Logs a step of the stop with what is in progress. */
  private logStop(step: string, phase?: StopPhaseName): void {
    const { callers, entry, home, peerConnections, log, clock } = this.parts;
    log.stateChange(step, {
      phase,
      sinceStopMs: Math.round(clock() - this.stateSinceMs),
      activeEntry: entry.activeCount,
      activeHome: home.activeCount,
      waitingHome: home.waitingCount,
      unansweredConnections: callers.unansweredCount,
      hasUnsentResponses: callers.hasUnsentBytes,
      connectionsReadAfterEnd: callers.readAfterEndCount(clock()),
      hasUnsentReplies: peerConnections.hasUnsentReplies,
    });
  }
}
