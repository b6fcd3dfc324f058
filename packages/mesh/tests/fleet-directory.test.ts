import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

function record(changes: Partial<DaemonRecord> = {}): DaemonRecord {
  return {
    daemonId: 'd-1',
    incarnation: 10,
    revision: 1,
    address: new SocketAddress('10.0.0.1', 1),
    zone: 'z',
    isLeaving: false,
    target: { targetId: 'i-1', service: 's', slots: 4, isServing: true, coldMs: 0 },
    ...changes,
  };
}

describe('FleetDirectory', () => {
  it('keeps a connected daemon whose record expired in the store', () => {
    const directory = new FleetDirectory();
    directory.applyRecord(record(), 'stored', 0);
    directory.setConnected('d-1', true, 0);
    directory.markRemovedFromStore('d-1', 100);
    expect(directory.removeExpired(60_000)).toEqual([]);
    expect(directory.servingRecords('s')).toHaveLength(1);
  });

  it('removes a daemon that is neither stored nor connected for two seconds', () => {
    const directory = new FleetDirectory();
    directory.applyRecord(record(), 'stored', 0);
    directory.markRemovedFromStore('d-1', 1_000);
    expect(directory.removeExpired(2_900)).toEqual([]);
    expect(directory.removeExpired(3_000)).toEqual(['d-1']);
    expect(directory.servingRecords('s')).toEqual([]);
  });

  it('expires records that are missing from a snapshot of the store', () => {
    const directory = new FleetDirectory();
    directory.applyRecord(record(), 'stored', 0);
    directory.applyRecord(record({ daemonId: 'd-2' }), 'stored', 0);
    directory.retainStored(new Set(['d-2']), 0);
    expect(directory.removeExpired(5_000)).toEqual(['d-1']);
  });

  it.each([
    ['an older revision', record({ revision: 0 }), 'stored', false],
    [
      'an older incarnation from another daemon',
      record({ incarnation: 9, revision: 9 }),
      'relayed',
      false,
    ],
    [
      'a lower incarnation of a daemon whose clock was set back',
      record({ incarnation: 9 }),
      'direct',
      true,
    ],
    ['a newer incarnation', record({ incarnation: 11 }), 'relayed', true],
  ] as const)('accepts only a newer record: %s', (_name, candidate, source, isAccepted) => {
    const directory = new FleetDirectory();
    directory.applyRecord(record(), 'stored', 0);
    expect(directory.applyRecord(candidate, source, 1)).toBe(isAccepted);
  });

  it.each([
    ['leaves', record({ revision: 2, isLeaving: true })],
    ['has no target', record({ revision: 2, target: undefined })],
  ])('does not list a daemon that %s as serving', (_name, next) => {
    const directory = new FleetDirectory();
    directory.applyRecord(record(), 'stored', 0);
    directory.applyRecord(next, 'direct', 1);
    expect(directory.servingRecords('s')).toEqual([]);
  });

  it('keeps its index the same as one built anew, whatever the order of changes', () => {
    const change = fc.record({
      daemonId: fc.constantFrom('a', 'b', 'c'),
      revision: fc.nat(5),
      zone: fc.constantFrom('y', 'z'),
      isLeaving: fc.boolean(),
      service: fc.constantFrom('s', 't', undefined),
      isServing: fc.boolean(),
      isRemoval: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
        const directory = new FleetDirectory();
        for (const [index, each] of changes.entries()) {
          const { service, isServing, isRemoval, ...fields } = each;
          const target =
            service === undefined
              ? undefined
              : { targetId: 'i', service, slots: 1, isServing, coldMs: 0 };
          if (isRemoval) directory.markRemovedFromStore(fields.daemonId, index);
          else directory.applyRecord(record({ ...fields, target }), 'stored', index);
          directory.removeExpired(index + 10_000);
          const records = directory.allRecords();
          for (const name of ['s', 't']) {
            const serving = records.filter(
              (known) =>
                known.target?.service === name && known.target.isServing && !known.isLeaving,
            );
            expect(new Set(directory.servingRecords(name))).toEqual(new Set(serving));
          }
          const inZone = records.filter((known) => known.zone === 'z').length;
          expect(directory.zoneSize('z')).toBe(inZone);
        }
      }),
    );
  });

  it('does not take back a daemon that has left, from a copy of the store', () => {
    const directory = new FleetDirectory();
    directory.applyRecord(record({ revision: 3 }), 'stored', 0);
    directory.applyRecord(record({ revision: 4, isLeaving: true }), 'direct', 0);
    directory.markRemovedFromStore('d-1', 0);
    expect(directory.removeExpired(2_000)).toEqual(['d-1']);
    expect(directory.applyRecord(record({ revision: 3 }), 'stored', 3_000)).toBe(false);
    expect(directory.applyRecord(record({ revision: 3 }), 'relayed', 3_000)).toBe(false);
    expect(directory.servingRecords('s')).toEqual([]);
    expect(directory.applyRecord(record({ incarnation: 11 }), 'stored', 4_000)).toBe(true);
  });

  it('drops the departures of replaced daemons after a minute', () => {
    const directory = new FleetDirectory();
    for (let index = 0; index < 1_000; index += 1) {
      const daemonId = `d-${index}`;
      const nowMs = index * 1_000;
      directory.applyRecord(record({ daemonId, isLeaving: true }), 'direct', nowMs);
      directory.removeExpired(nowMs + 2_000);
      expect(directory.departureCount).toBeLessThanOrEqual(62);
    }
  });
});
