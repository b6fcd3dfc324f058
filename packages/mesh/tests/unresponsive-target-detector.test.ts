import { UnresponsiveTargetDetector } from '@daisyferry/mesh/unresponsive-target-detector';
import { describe, expect, it } from 'vitest';

describe('UnresponsiveTargetDetector', () => {
  it('detects a busy target that responds to no request', () => {
    const detector = new UnresponsiveTargetDetector();
    detector.recordStart(0, 0);
    detector.recordStart(1, 900);
    expect(detector.isUnresponsive(4, 50, 1_200)).toBe(false);
    expect(detector.isUnresponsive(4, 50, 1_201)).toBe(true);
  });

  it.each([
    ['any response', (detector: UnresponsiveTargetDetector) => detector.recordResponse(1_000), 5],
    ['few requests', () => undefined, 3],
    [
      'a request to an idle target',
      (detector: UnresponsiveTargetDetector) => detector.recordStart(0, 1_000),
      4,
    ],
  ] as const)('does not report a target with %s', (_name, event, running) => {
    const detector = new UnresponsiveTargetDetector();
    detector.recordStart(0, 0);
    event(detector);
    expect(detector.isUnresponsive(running, 50, 1_500)).toBe(false);
  });

  it('allows a slow target more time', () => {
    const detector = new UnresponsiveTargetDetector();
    detector.recordStart(0, 0);
    expect(detector.isUnresponsive(4, 700, 3_000)).toBe(false);
  });
});
