import type { Scheduler } from '@daisyferry/model/scheduler';
import { describe, expect, it } from 'vitest';
import { PauseDetector } from '../src/pause-detector';

/** A clock whose timers run late, as after a pause of the process. */
class LateClock implements Scheduler {
  private now = 0;

  private due: (() => void) | undefined;

  nowMs(): number {
    return this.now;
  }

  after(_delayMs: number, action: () => void) {
    this.due = action;
    return { cancel: () => undefined };
  }

  passes(durationMs: number): void {
    this.now += durationMs;
  }

  runTimers(): void {
    this.due?.();
  }
}

function started() {
  const clock = new LateClock();
  const detector = new PauseDetector(clock);
  detector.start();
  return { clock, unreadMs: () => detector.unreadMs(clock.nowMs()) };
}

describe('pause detector', () => {
  it('sees no pause in timely or slightly late ticks', () => {
    const { clock, unreadMs } = started();
    for (const durationMs of [50, 60, 200, 299]) {
      clock.passes(durationMs);
      expect(unreadMs()).toBe(0);
      clock.runTimers();
      expect(unreadMs()).toBe(0);
    }
  });

  it.each([{ timersFirst: true }, { timersFirst: false }])(
    'counts a pause against requests read after it (timers first: $timersFirst)',
    ({ timersFirst }) => {
      const { clock, unreadMs } = started();
      clock.passes(5_050);
      if (timersFirst) clock.runTimers();
      expect(unreadMs()).toBe(5_000);
    },
  );

  it('forgets a pause once its backlog has been read', () => {
    const { clock, unreadMs } = started();
    clock.passes(5_050);
    clock.runTimers();
    for (let tick = 0; tick < 10; tick += 1) {
      clock.passes(50);
      clock.runTimers();
      expect(unreadMs()).toBe(5_000);
    }
    clock.passes(1);
    expect(unreadMs()).toBe(0);
  });
});
