import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { describe, expect, it } from 'vitest';
import type { DaemonRecord } from '../src/daemon-record';

function record(changes: Partial<DaemonRecord> = {}): DaemonRecord {
  return {
    daemonId: 'd-1',
    incarnation: 10,
    revision: 1,
    address: '10.0.0.1:1',
    zone: 'z',
    isLeaving: false,
    target: { targetId: 'i-1', service: 's', slots: 4, isServing: true, coldMs: 0 },
    ...changes,
  };
}

describe('FleetDirectory', () => {
  it('keeps a connected daemon whose record lapsed', () => {
    const directory = new FleetDirectory();
    directory.learn(record(), 'stored', 0);
    directory.setConnected('d-1', true, 0);
    directory.lapse('d-1', 100);
    expect(directory.expire(60_000)).toEqual([]);
    expect(directory.serving('s')).toHaveLength(1);
  });

  it('drops a daemon that neither the store nor a connection confirms within two seconds', () => {
    const directory = new FleetDirectory();
    directory.learn(record(), 'stored', 0);
    directory.lapse('d-1', 1_000);
    expect(directory.expire(2_900)).toEqual([]);
    expect(directory.expire(3_000)).toEqual(['d-1']);
    expect(directory.serving('s')).toEqual([]);
  });

  it('takes what is missing from the store for lapsed', () => {
    const directory = new FleetDirectory();
    directory.learn(record(), 'stored', 0);
    directory.learn(record({ daemonId: 'd-2' }), 'stored', 0);
    directory.replaceStored(new Set(['d-2']), 0);
    expect(directory.expire(5_000)).toEqual(['d-1']);
  });

  it.each([
    ['an older revision', record({ revision: 0 }), 'stored', false],
    [
      'an older life from another daemon',
      record({ incarnation: 9, revision: 9 }),
      'relayed',
      false,
    ],
    ['a life that a set-back clock numbers lower', record({ incarnation: 9 }), 'direct', true],
    ['a newer life', record({ incarnation: 11 }), 'relayed', true],
  ] as const)('judges %s', (_name, candidate, source, isNews) => {
    const directory = new FleetDirectory();
    directory.learn(record(), 'stored', 0);
    expect(directory.learn(candidate, source, 1)).toBe(isNews);
  });

  it.each([
    ['leaves', record({ revision: 2, isLeaving: true })],
    ['has no target', record({ revision: 2, target: undefined })],
  ])('offers no daemon that %s', (_name, next) => {
    const directory = new FleetDirectory();
    directory.learn(record(), 'stored', 0);
    directory.learn(next, 'direct', 1);
    expect(directory.serving('s')).toEqual([]);
  });
});
