import { describe, expect, it } from 'vitest';
import { resultAfter } from '../src/attempt-verdict';
import type { CallResult } from '../src/call-message';
import { refusal, unknownOutcome } from '../src/results';

const lost = unknownOutcome('target-lost');
const shed = refusal('shed', 100);
const full = refusal('queue-full', 100);

describe('resultAfter', () => {
  it.each<{ what: string; earlier: CallResult | undefined; last: CallResult; after: CallResult }>([
    { what: 'returns the first result', earlier: undefined, last: shed, after: shed },
    { what: 'replaces a refusal with a refusal', earlier: full, last: shed, after: shed },
    { what: 'replaces a refusal with an unknown outcome', earlier: full, last: lost, after: lost },
    { what: 'does not report a lost call as refused', earlier: lost, last: shed, after: lost },
  ])('$what', ({ earlier, last, after }) => {
    expect(resultAfter(earlier, last)).toBe(after);
  });
});
