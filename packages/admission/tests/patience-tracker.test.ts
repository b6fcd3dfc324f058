import { describe, expect, it } from 'vitest';
import { PatienceTracker } from '../src/patience-tracker';

describe('PatienceTracker', () => {
  it('assumes that the caller of an unknown method keeps waiting', () => {
    expect(new PatienceTracker().stayProbability('quote', 1_000, 1_000)).toBe(1);
  });

  it('estimates how long callers wait, with responses as censored observations', () => {
    const tracker = new PatienceTracker();
    for (let index = 0; index < 200; index++) {
      tracker.observeResponse('quote', 10, 0);
      tracker.observeAbandoned('quote', 400, 0);
      tracker.observeResponse('quote', 1_000, 0);
    }
    expect(tracker.stayProbability('quote', 10, 20)).toBe(1);
    expect(tracker.stayProbability('quote', 10, 600)).toBeCloseTo(0.5);
    expect(tracker.stayProbability('quote', 600, 200)).toBe(1);
    expect(tracker.stayProbability('board', 10, 600)).toBe(1);
  });

  it('follows a change in the behaviour of callers', () => {
    const tracker = new PatienceTracker();
    for (let index = 0; index < 200; index++) tracker.observeAbandoned('quote', 100, index);
    expect(tracker.stayProbability('quote', 10, 200)).toBeLessThan(0.05);
    for (let minute = 1; minute <= 10; minute++) {
      for (let index = 0; index < 40; index++)
        tracker.observeResponse('quote', 500, minute * 60_000);
    }
    expect(tracker.stayProbability('quote', 10, 200)).toBeGreaterThan(0.9);
  });
});
