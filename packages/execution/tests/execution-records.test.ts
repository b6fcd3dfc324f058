import { describe, expect, it } from 'vitest';
import { ExecutionRecords } from '../src/execution-records';
import { mintTicket } from '../src/ticket';

const SELF = { name: 'vault-1', incarnation: '0123456789abcdef' };
const OPTIONS = { self: SELF, byteBudget: 1e6, maxLifetimeMs: 60_000, maxClockSkewMs: 1_000 };
const NONCE = 'ab'.repeat(16);

describe('execution records', () => {
  it('grants a ticket once, lets repeats join and hands over once', () => {
    const records = new ExecutionRecords(OPTIONS);
    const ticket = mintTicket(SELF, 1_000, NONCE, 0);
    expect(records.claim(ticket, 1)).toEqual({ kind: 'granted' });
    expect(records.claim(ticket, 2)).toEqual({ kind: 'join' });
    expect(records.handOver(NONCE, 3)).toBe(true);
    expect(records.handOver(NONCE, 4)).toBe(false);
  });
});
