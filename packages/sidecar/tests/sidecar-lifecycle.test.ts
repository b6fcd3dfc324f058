import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SidecarLifecycle, type SidecarLifecycleParts } from '../src/sidecar-lifecycle';

const GRACE_MS = 6_000;

/** Records what a stopping daemon does, with the time since it was told to stop. */
class Recorder {
  readonly steps: { readonly step: string; readonly atMs: number }[] = [];

  activeHome = 0;

  private readonly startMs = performance.now();

  note(step: string): void {
    this.steps.push({ step, atMs: performance.now() - this.startMs });
  }

  atMs(step: string): number {
    return this.steps.find((noted) => noted.step === step)?.atMs ?? Number.NaN;
  }

  /** Stand-ins for the daemon's parts, with what a stop uses of them. */
  parts(): SidecarLifecycleParts {
    const note = (step: string) => () => this.note(step);
    const activeHome = () => this.activeHome;
    return {
      environment: { bounds: { graceMs: GRACE_MS } },
      state: { isStopping: false, stop: note('not ready') },
      callers: {
        isClosing: false,
        closeIdle: () => undefined,
        stopListening: note('takes no callers'),
        close: note('callers closed'),
      },
      own: { leave: note('leaves') },
      entry: { activeCount: 0 },
      home: {
        get activeCount() {
          return activeHome();
        },
        close: note('home closed'),
      },
      log: { belief: () => undefined, flushSync: () => undefined },
      fleet: { stop: note('peers closed') },
      storeSync: { stop: () => undefined },
      registration: { stop: () => Promise.resolve() },
      announcements: { close: () => undefined },
      readiness: { close: () => undefined },
      flushMs: 1_000,
      clock: () => performance.now(),
    } as unknown as SidecarLifecycleParts;
  }
}

describe('the planned stop of a daemon', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('lets its target serve until callers had two questions to learn of the stop', async () => {
    const recorder = new Recorder();
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    expect(recorder.steps.map(({ step }) => step)).toEqual([
      'not ready',
      'leaves',
      'takes no callers',
      'home closed',
      'callers closed',
      'peers closed',
    ]);
    expect(recorder.atMs('leaves')).toBeGreaterThanOrEqual(2_000);
    // Calls that are on their way when the others learn of it still reach the target.
    expect(recorder.atMs('home closed') - recorder.atMs('leaves')).toBeGreaterThanOrEqual(200);
  });

  it('ends within the grace time whatever its target still works on', async () => {
    const recorder = new Recorder();
    recorder.activeHome = 1;
    const stopped = new SidecarLifecycle(recorder.parts()).stop();
    await vi.advanceTimersByTimeAsync(GRACE_MS);
    await stopped;
    expect(recorder.atMs('peers closed')).toBeLessThan(GRACE_MS - 300);
    // What callers send in the first three seconds may be cut at the end, later requests may not.
    expect(recorder.atMs('takes no callers')).toBeLessThan(3_000);
  });
});
