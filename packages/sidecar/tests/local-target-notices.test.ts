import { LocalTargetNotices } from '@daisyferry/sidecar/local-target-notices';
import { describe, expect, it } from 'vitest';

function createNotices(): LocalTargetNotices {
  const log = { stateChange: () => undefined, decision: () => undefined };
  return new LocalTargetNotices({ rateLimit: 'limit', leaving: 'leaving' }, log);
}

describe('LocalTargetNotices', () => {
  it.each([
    ['32.5', 32.5],
    [' 3 ', 3],
    ['0', 0],
    ['123456789012', 123_456_789_012],
  ])('reads the rate %j', (text, ratePerS) => {
    expect(createNotices().record(['Limit', text], 'i').ratePerS).toBe(ratePerS);
  });

  it.each(['-3', 'many', '', '1e3', 'Infinity', '0x10', '9'.repeat(400)])(
    'keeps the rate that was stated before when it cannot read %j',
    (text) => {
      const notices = createNotices();
      expect(notices.record(['Limit', text], 'i').ratePerS).toBeUndefined();
      notices.record(['Limit', '5'], 'i');
      expect(notices.record(['Limit', text], 'i').ratePerS).toBe(5);
    },
  );

  it('ends the rate with an answer that states none, and never takes a departure back', () => {
    const notices = createNotices();
    notices.record(['Limit', '5', 'Leaving', '1'], 'i');
    expect(notices.record([], 'i')).toEqual({ ratePerS: undefined, isLeaving: true });
    notices.reset();
    expect(notices.notice).toBeUndefined();
    expect(notices.record(['Leaving', '0'], 'i').isLeaving).toBe(false);
  });
});
