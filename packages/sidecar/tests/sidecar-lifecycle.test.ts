import {
  SidecarLifecycle,
  type SidecarLifecycleParts,
} from '@daisyferry/sidecar/sidecar-lifecycle';
import { CurrentBounds } from '@daisyferry/sidecar/settings-reload';
import { StopPlan } from '@daisyferry/mesh/stop-plan';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

const GRACE_MS = 6_000;

/** Records the steps of a stopping daemon with the time since the request to stop. */
class StopRecorder {
  readonly steps: { readonly step: string; readonly atMs: number }[] = [];

  activeHomeCalls = 0;

  hasUnsentBytes = false;

  hasUnsentReplies = false;

  hasUnreadResponses = false;

  arrivingRequests = 0;

  isStoreSilent = false;

  /** Peers that do not end their connections. */
  arePeersSilent = false;

  /** Connections that wait to be accepted; the event loop accepts one in a turn. */
  waitingConnections = 0;

  waitingAtStop: number | undefined;

  private acceptedConnections = 0;

  private readonly startMs = performance.now();

  recordStep(step: string): void {
    this.steps.push({ step, atMs: performance.now() - this.startMs });
  }

  atMs(step: string): number {
    return this.steps.find((recorded) => recorded.step === step)?.atMs ?? Number.NaN;
  }

  /** Stubs of the daemon's components, with the members that a stop uses. */
  parts(): SidecarLifecycleParts {
    const record = (step: string) => () => this.recordStep(step);
    const recordUnready = record('unready');
    const activeHomeCalls = () => this.activeHomeCalls;
    const hasUnsentBytes = () => this.hasUnsentBytes;
    const hasUnreadResponses = () => this.hasUnreadResponses;
    const arrivingRequests = () => this.arrivingRequests;
    const arePeersSilent = () => this.arePeersSilent;
    const hasUnsentReplies = () => this.hasUnsentReplies;
    const acceptedCount = () => {
      if (this.waitingConnections > 0) {
        this.waitingConnections -= 1;
        this.acceptedConnections += 1;
      }
      return this.acceptedConnections;
    };
    return {
      bounds: new CurrentBounds({
        graceMs: GRACE_MS,
        applyMs: 2_000,
        retryRatio: 0.2,
        retrySlack: 48,
      }),
      readyState: {
        isStopping: false,
        beginStop() {
          this.isStopping = true;
          recordUnready();
        },
      },
      callers: {
        isClosing: false,
        get acceptedCount() {
          return acceptedCount();
        },
        endIdle: () => undefined,
        refuseArriving: () => undefined,
        stopListening: () => {
          this.recordStep('listening stopped');
          this.waitingAtStop = this.waitingConnections;
        },
        close: record('callers closed'),
        closeConnections: record('caller connections closed'),
        get hasUnsentBytes() {
          return hasUnsentBytes();
        },
        readAfterEndCount: () => (hasUnreadResponses() ? 1 : 0),
        get unansweredCount() {
          return arrivingRequests();
        },
      },
      freshnessKeeper: { stop: () => undefined },
      ownRecord: { publishLeaving: record('leaving published') },
      stopPlan: new StopPlan(),
      entry: { activeCount: 0, refuseUnsent: () => undefined },
      home: {
        get activeCount() {
          return activeHomeCalls();
        },
        refuseWaiting: record('waiting refused'),
        breakOff: record('broken off'),
        close: record('home closed'),
      },
      log: { stateChange: () => undefined, flushSync: () => undefined },
      peerConnections: {
        stop: () => {
          this.recordStep('peers closed');
          return arePeersSilent() ? Promise.race([]) : Promise.resolve();
        },
        close: record('silent peers closed'),
        get hasUnsentReplies() {
          return hasUnsentReplies();
        },
      },
      storeSync: { stop: () => undefined },
      registration: {
        stop: () => (this.isStoreSilent ? Promise.race([]) : Promise.resolve()),
      },
      announcements: { close: () => undefined },
      readiness: { close: () => undefined },
      logFlushIntervalMs: 1_000,
      clock: () => performance.now(),
    } as unknown as SidecarLifecycleParts;
  }
}

describe('the graceful stop of a daemon', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('serves until callers had time for two readiness probes', async () => {
    const recorder = new StopRecorder();
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    expect(recorder.steps.map(({ step }) => step)).toEqual([
      'unready',
      'leaving published',
      'listening stopped',
      'home closed',
      'callers closed',
      'peers closed',
      // Calls that end with their peers are answered before.
      'caller connections closed',
      'silent peers closed',
    ]);
    expect(recorder.atMs('leaving published')).toBeGreaterThanOrEqual(2_000);
    // Calls that are in flight when other daemons learn of the stop still reach the target.
    expect(
      recorder.atMs('home closed') - recorder.atMs('leaving published'),
    ).toBeGreaterThanOrEqual(200);
  });

  it.each([
    { receiver: 'callers', state: 'sent', part: 'hasUnsentBytes' as const },
    { receiver: 'callers', state: 'read', part: 'hasUnreadResponses' as const },
    { receiver: 'peers', state: 'sent', part: 'hasUnsentReplies' as const },
  ])('waits until its last responses to $receiver are $state', async ({ part }) => {
    const recorder = new StopRecorder();
    recorder[part] = true;
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(4_000);
    expect(recorder.atMs('home closed')).toBeNaN();
    recorder[part] = false;
    await vi.advanceTimersByTimeAsync(100);
    await stopped;
    expect(recorder.atMs('home closed')).toBeLessThan(4_100);
  });

  it('accepts the connections that wait before it stops listening', async () => {
    const recorder = new StopRecorder();
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(2_590);
    recorder.waitingConnections = 40;
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    expect(recorder.waitingAtStop).toBe(0);
  });

  it('goes on after a step that fails, so that calls in progress are finished', async () => {
    const recorder = new StopRecorder();
    recorder.activeHomeCalls = 1;
    const parts = recorder.parts();
    const report = vi.fn();
    const publishLeaving = () => {
      throw new Error('not told');
    };
    Object.assign(parts, { failures: { report }, ownRecord: { publishLeaving } });
    const stopped = new SidecarLifecycle(parts).stop();
    await vi.advanceTimersByTimeAsync(4_000);
    expect(recorder.atMs('home closed')).toBeNaN();
    recorder.activeHomeCalls = 0;
    await vi.advanceTimersByTimeAsync(100);
    await stopped;
    expect(recorder.atMs('home closed')).toBeLessThan(4_100);
    expect(report).toHaveBeenCalledExactlyOnceWith('stop', expect.any(Error), {
      phase: 'peerNotice',
    });
  });

  it('is not shortened by a second request to stop, which ends with the first', async () => {
    const recorder = new StopRecorder();
    recorder.activeHomeCalls = 1;
    const lifecycle = new SidecarLifecycle(recorder.parts());
    const stopped = lifecycle.stop();
    await vi.advanceTimersByTimeAsync(500);
    let hasSecondEnded = false;
    const second = lifecycle.stop().then(() => {
      hasSecondEnded = true;
    });
    await vi.advanceTimersByTimeAsync(3_500);
    expect(hasSecondEnded).toBe(false);
    recorder.activeHomeCalls = 0;
    await vi.advanceTimersByTimeAsync(1_000);
    await Promise.all([stopped, second]);
    expect(recorder.steps.filter(({ step }) => step === 'home closed')).toHaveLength(1);
  });

  it.each([true, false])('closes connections whose peers do not end them: %s', async (isSilent) => {
    const recorder = new StopRecorder();
    recorder.arePeersSilent = isSilent;
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    const waitedMs = recorder.atMs('silent peers closed') - recorder.atMs('peers closed');
    if (isSilent) expect(waitedMs).toBeGreaterThan(200);
    expect(waitedMs).toBeLessThan(isSilent ? 400 : 20);
  });

  it('accepts nothing while it waits for a store that is silent', async () => {
    const recorder = new StopRecorder();
    recorder.isStoreSilent = true;
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    expect(recorder.atMs('caller connections closed') - recorder.atMs('home closed')).toBeLessThan(
      20,
    );
  });

  it('waits for a request that has partly arrived', async () => {
    const recorder = new StopRecorder();
    recorder.arrivingRequests = 1;
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(4_000);
    expect(recorder.atMs('caller connections closed')).toBeNaN();
    recorder.arrivingRequests = 0;
    await vi.advanceTimersByTimeAsync(100);
    await stopped;
  });

  it('refuses what waits before it breaks off what runs', async () => {
    const recorder = new StopRecorder();
    recorder.activeHomeCalls = 1;
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    const replyMs = recorder.atMs('broken off') - recorder.atMs('waiting refused');
    expect(replyMs).toBeGreaterThan(200);
    expect(recorder.atMs('peers closed') - recorder.atMs('broken off')).toBeGreaterThan(100);
  });

  it('stops within the grace time even if its target has unfinished work', async () => {
    const recorder = new StopRecorder();
    recorder.activeHomeCalls = 1;
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    expect(recorder.atMs('peers closed')).toBeLessThan(GRACE_MS - 300);
    // An accepted request may still be unfinished at the end of the grace time. This is allowed
    // only for requests sent in the first three seconds, so that none may be accepted after them.
    expect(recorder.atMs('listening stopped')).toBeLessThan(3_000);
  });
});
