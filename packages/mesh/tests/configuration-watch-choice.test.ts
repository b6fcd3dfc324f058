import { ConfigurationWatchChoice } from '@daisyferry/mesh/configuration-watch-choice';
import { describe, expect, it } from 'vitest';

describe('ConfigurationWatchChoice', () => {
  it('ends the watch of a daemon behind two others, and starts it when one is lost', () => {
    const choice = new ConfigurationWatchChoice();
    expect(choice.decide(2, 0)).toBe(true);
    expect(choice.decide(2, 2_900)).toBe(true);
    expect(choice.decide(2, 3_000)).toBe(false);
    expect(choice.decide(1, 10_000)).toBe(false);
    expect(choice.decide(1, 11_000)).toBe(true);
  });

  it('does not follow connections that come and go', () => {
    const choice = new ConfigurationWatchChoice();
    for (let nowMs = 0; nowMs < 20_000; nowMs += 200)
      expect(choice.decide(nowMs % 2_000 === 0 ? 0 : 2, nowMs)).toBe(true);
  });

  it('watches at first when it begins to follow the store again', () => {
    const choice = new ConfigurationWatchChoice();
    choice.decide(3, 0);
    expect(choice.decide(3, 3_000)).toBe(false);
    choice.reset();
    expect(choice.decide(3, 3_200)).toBe(true);
  });
});
