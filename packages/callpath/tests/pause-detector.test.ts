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

  advance(durationMs: number): void {
    this.now += durationMs;
  }

  runTimers(): void {
    this.due?.();
  }
}

function startDetector() {
  const clock = new LateClock();
  const detector = new PauseDetector(clock);
  detector.start();
  return { clock, unreadMs: () => detector.unreadMs(clock.nowMs()) };
}

describe('PauseDetector', () => {
  it('detects no pause when ticks are on time or slightly late', () => {
    const { clock, unreadMs } = startDetector();
    for (const durationMs of [50, 60, 200, 299]) {
      clock.advance(durationMs);
      expect(unreadMs()).toBe(0);
      clock.runTimers();
      expect(unreadMs()).toBe(0);
    }
  });

  it.each([{ timersFirst: true }, { timersFirst: false }])(
    'reports a pause for requests read after it (timers first: $timersFirst)',
    ({ timersFirst }) => {
      const { clock, unreadMs } = startDetector();
      clock.advance(5_050);
      if (timersFirst) clock.runTimers();
      expect(unreadMs()).toBe(5_000);
    },
  );

  it('reports no pause once its backlog has been read', () => {
    const { clock, unreadMs } = startDetector();
    clock.advance(5_050);
    clock.runTimers();
    for (let tick = 0; tick < 10; tick += 1) {
      clock.advance(50);
      clock.runTimers();
      expect(unreadMs()).toBe(5_000);
    }
    clock.advance(1);
    expect(unreadMs()).toBe(0);
  });
});
