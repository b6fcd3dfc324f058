import { ShedLevel } from '@daisyferry/mesh/shed-level';
import { describe, expect, it } from 'vitest';

const STEP_MS = 25;
const CLASSES = 3;

/** Time until the condition holds, in ms, or undefined if it does not within `limitMs`. */
function timeUntil(limitMs: number, step: (nowMs: number) => boolean): number | undefined {
  for (let nowMs = 0; nowMs <= limitMs; nowMs += STEP_MS) if (step(nowMs)) return nowMs;
  return undefined;
}

describe('ShedLevel', () => {
  it('turns a whole class away within a second of a lasting overload', () => {
    const level = new ShedLevel();
    const reachedMs = timeUntil(1_000, (nowMs) => {
      level.update(200, CLASSES, nowMs);
      return level.value >= 1;
    });
    expect(reachedMs).toBeDefined();
  });

  it('is back at zero within two seconds of the end of one class of overload', () => {
    const level = new ShedLevel();
    timeUntil(1_000, (nowMs) => {
      level.update(200, CLASSES, nowMs);
      return level.value >= 1;
    });
    const backMs = timeUntil(2_000, (nowMs) => {
      level.update(0, CLASSES, 1_000 + nowMs);
      return level.value === 0;
    });
    expect(backMs).toBeDefined();
  });

  it('does not rise while the queue shrinks', () => {
    const level = new ShedLevel();
    level.update(100, CLASSES, 0);
    level.update(100, CLASSES, 100);
    const before = level.value;
    level.update(90, CLASSES, 200);
    level.update(80, CLASSES, 300);
    expect(level.value).toBe(before);
  });

  it('stays within its bounds, also after a pause of the process', () => {
    const level = new ShedLevel();
    level.update(1_000, CLASSES, 0);
    level.update(1_000, CLASSES, 60_000);
    expect(level.value).toBeLessThan(1);
    timeUntil(10_000, (nowMs) => {
      level.update(1_000, CLASSES, 60_000 + nowMs);
      return false;
    });
    expect(level.value).toBe(CLASSES);
  });
});
