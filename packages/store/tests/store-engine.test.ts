import { describe, expect, it } from 'vitest';
import { StoreEngine } from '../src/store-engine';

const PUT = { kind: 'put', key: 'k', value: 'v' } as const;

function watchFrom(engine: StoreEngine, fromRevision: number): string[] {
  const seen: string[] = [];
  engine.watch(
    { key: 'k', fromRevision },
    {
      onEvents: (events) => seen.push(...events.map(({ modRevision }) => String(modRevision))),
      onEnd: (reason) => seen.push(reason),
    },
  );
  return seen;
}

describe('store engine', () => {
  it('ends a watch that requests discarded changes', () => {
    const engine = new StoreEngine(2);
    for (let write = 0; write < 4; write += 1) engine.transact([], [PUT]);
    expect(watchFrom(engine, 3)).toEqual(['compacted']);
    expect(watchFrom(engine, 4)).toEqual(['4', '5']);
  });

  it.each([
    { atMs: 4_999, keys: 1 },
    { atMs: 5_000, keys: 0 },
  ])('retains $keys leased keys after $atMs ms', ({ atMs, keys }) => {
    const engine = new StoreEngine();
    const leaseId = engine.grantLease(5, 0);
    engine.transact([], [{ ...PUT, leaseId }]);
    engine.expireLeases(atMs);
    expect(engine.range({ key: 'k' }).values).toHaveLength(keys);
  });
});
