import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { LinkPlan } from '@daisyferry/mesh/link-plan';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import { describe, expect, it } from 'vitest';

/** One home of 's' in eight daemons, and one of 'rare' in 64; the others serve 'other'. */
function serviceOf(index: number): string {
  if (index % 64 === 1) return 'rare';
  return index % 8 === 0 ? 's' : 'other';
}

function fleetOf(size: number, zones: number): DaemonRecord[] {
  return Array.from({ length: size }, (_, index) => {
    const service = serviceOf(Math.floor(index / zones));
    return {
      daemonId: `daemon-${index}`,
      incarnation: 1,
      revision: 1,
      address: new SocketAddress('10.0.0.1', 1),
      zone: `z${index % zones}`,
      isLeaving: false,
      target: { targetId: `i-${index}`, service, slots: 4, isServing: true, coldMs: 0 },
    };
  });
}

function directoryOf(records: readonly DaemonRecord[]): FleetDirectory {
  const directory = new FleetDirectory();
  for (const record of records) directory.applyRecord(record, 'stored', 0);
  return directory;
}

function planOf(directory: FleetDirectory, own: DaemonRecord, isReading = false): LinkPlan {
  return new LinkPlan(directory, {
    ownDaemonId: own.daemonId,
    ownZone: own.zone,
    isReading: () => isReading,
    isServiceUsed: (service) => service !== 'other',
  });
}

describe('LinkPlan', () => {
  it('connects the daemons that follow the store in each data centre with each other', () => {
    const records = fleetOf(600, 20);
    const directory = directoryOf(records);
    const firsts = records.filter((record) => directory.isFirstOfZone(record));
    expect(new Set(firsts.map(({ zone }) => zone)).size).toBe(20);
    for (const own of firsts) {
      const plan = planOf(directory, own, true);
      expect(firsts.filter((other) => other === own || plan.isWanted(other))).toEqual(firsts);
    }
    const [first] = firsts;
    directory.markRemovedFromStore(first?.daemonId ?? '', 0);
    directory.removeExpired(60_000);
    expect(records.filter((record) => directory.isFirstOfZone(record))).not.toContain(first);
  });

  it.each([
    [14, 3],
    [195, 6],
    [2_000, 20],
  ])('bounds the links in a fleet of %i, and reaches homes of each service', (size, zones) => {
    const records = fleetOf(size, zones);
    const directory = directoryOf(records);
    for (const own of records.slice(0, 20)) {
      const plan = planOf(directory, own);
      const wanted = records.filter((record) => record !== own && plan.isWanted(record));
      expect(wanted.length).toBeLessThanOrEqual(110);
      for (const service of ['s', 'rare']) {
        const homes = records.filter(({ target }) => target?.service === service);
        const reached = wanted.filter(({ target }) => target?.service === service);
        expect(reached.length).toBeGreaterThanOrEqual(Math.min(2, homes.length - 1));
      }
    }
  });

  it('draws the same number for both daemons of a pair', () => {
    const records = fleetOf(600, 2);
    const directory = directoryOf(records);
    const [left, right] = records.slice(100, 102) as [DaemonRecord, DaemonRecord];
    expect(planOf(directory, left).isWanted(right)).toBe(planOf(directory, right).isWanted(left));
  });

  it('spreads the links of all daemons evenly over the homes of a service', () => {
    const records = fleetOf(1_000, 5);
    const directory = directoryOf(records);
    const counts = new Map<string, number>();
    for (const own of records) {
      const plan = planOf(directory, own);
      for (const record of records) {
        if (record.zone !== own.zone && record.target?.service === 'rare' && plan.isWanted(record))
          counts.set(record.daemonId, (counts.get(record.daemonId) ?? 0) + 1);
      }
    }
    const values = [...counts.values()];
    const mean = values.reduce((sum, next) => sum + next, 0) / values.length;
    expect(Math.max(...values)).toBeLessThan(1.5 * mean);
  });

  it('connects a daemon that follows the store with its whole data centre', () => {
    const records = fleetOf(2_000, 4);
    const directory = directoryOf(records);
    const own = records[0] as DaemonRecord;
    const plan = planOf(directory, own, true);
    const local = records.filter((record) => record.zone === own.zone);
    expect(local.every((record) => plan.isWanted(record))).toBe(true);
  });
});
