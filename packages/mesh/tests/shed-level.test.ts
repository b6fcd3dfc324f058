import { ShedLevel } from '@daisyferry/mesh/shed-level';
import { describe, expect, it } from 'vitest';

const STEP_MS = 25;
const CLASSES = 3;

/** Time until the condition holds, in ms, or undefined if it does not within `limitMs`. */
function elapsedUntil(limitMs: number, step: (nowMs: number) => boolean): number | undefined {
  for (let nowMs = 0; nowMs <= limitMs; nowMs += STEP_MS) if (step(nowMs)) return nowMs;
  return undefined;
}

describe('ShedLevel', () => {
  it('sheds a whole class within a second of sustained overload', () => {
    const level = new ShedLevel();
    const reachedMs = elapsedUntil(1_000, (nowMs) => {
      level.update(200, CLASSES, nowMs);
      return level.value >= 1;
    });
    expect(reachedMs).toBeDefined();
  });

  it('returns from one class to zero within two seconds of the end of the overload', () => {
    const level = new ShedLevel();
    elapsedUntil(1_000, (nowMs) => {
      level.update(200, CLASSES, nowMs);
      return level.value >= 1;
    });
    const backMs = elapsedUntil(2_000, (nowMs) => {
      level.update(0, CLASSES, 1_000 + nowMs);
      return level.value === 0;
    });
    expect(backMs).toBeDefined();
  });

  it('does not rise while the queue is shrinking', () => {
    const level = new ShedLevel();
    level.update(100, CLASSES, 0);
    level.update(100, CLASSES, 100);
    const before = level.value;
    level.update(90, CLASSES, 200);
    level.update(80, CLASSES, 300);
    expect(level.value).toBe(before);
  });

  it('stays within its bounds, including after a pause of the process', () => {
    const level = new ShedLevel();
    level.update(1_000, CLASSES, 0);
    level.update(1_000, CLASSES, 60_000);
    expect(level.value).toBeLessThan(1);
    elapsedUntil(10_000, (nowMs) => {
      level.update(1_000, CLASSES, 60_000 + nowMs);
      return false;
    });
    expect(level.value).toBe(CLASSES);
  });
});
