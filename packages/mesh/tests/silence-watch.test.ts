import { SilenceWatch } from '@daisyferry/mesh/silence-watch';
import { describe, expect, it } from 'vitest';

describe('SilenceWatch', () => {
  it('notices a busy target that answers nothing', () => {
    const watch = new SilenceWatch();
    watch.started(0, 0);
    watch.started(1, 900);
    expect(watch.isSilent(4, 50, 1_200)).toBe(false);
    expect(watch.isSilent(4, 50, 1_201)).toBe(true);
  });

  it.each([
    ['any answer', (watch: SilenceWatch) => watch.answered(1_000), 5],
    ['few requests', () => undefined, 3],
    ['a request after idleness', (watch: SilenceWatch) => watch.started(0, 1_000), 4],
  ] as const)('is calmed by %s', (_name, event, running) => {
    const watch = new SilenceWatch();
    watch.started(0, 0);
    event(watch);
    expect(watch.isSilent(running, 50, 1_500)).toBe(false);
  });

  it('leaves a slow target more time', () => {
    const watch = new SilenceWatch();
    watch.started(0, 0);
    expect(watch.isSilent(4, 700, 3_000)).toBe(false);
  });
});
