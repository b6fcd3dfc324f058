import { AnnouncedTarget } from '@daisyferry/mesh/announced-target';
import { decodeStoredRecord } from '@daisyferry/peering/record-codec';
import type { DaemonEnvironment } from '@daisyferry/sidecar/daemon-environment';
import { OwnRecord } from '@daisyferry/sidecar/own-record';
import { expect, it } from 'vitest';

const listen = { peers: { ip: '127.0.0.1', port: 7_620 } };
const environment = { daemonId: 'm1', zone: 'z', listen } as unknown as DaemonEnvironment;

it('states that a target has returned which went on announcing itself after its departure', () => {
  const target = new AnnouncedTarget();
  const own = new OwnRecord(environment, target, 1, () => 0);
  const announce = (sequence: number, nowMs: number) =>
    target.applyAnnouncement(
      {
        ...{ targetId: 'i', service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4 },
        ...{ isDraining: false, coldMs: 0, sequence, bornUnixMs: 1 },
      },
      nowMs,
    );
  announce(1, 0);
  expect(own.record().target?.isLeaving).toBeUndefined();
  target.deregister('i', 1);
  expect(own.record().target?.isLeaving).toBe(true);
  for (const [index, nowMs] of [1_500, 3_000, 61_500].entries()) announce(2 + index, nowMs);
  expect(own.record().target).toMatchObject({ isLeaving: false, isServing: true });
  expect(own.record().endedTargets).toBeUndefined();
});

it('is readable in the store, whatever the ids of the targets that have ended', () => {
  const target = new AnnouncedTarget();
  // Quotation marks take two characters in JSON.
  for (let number = 100; number < 300; number += 1)
    target.deregister(`${'"'.repeat(197)}${number}`, Number.MAX_SAFE_INTEGER);
  const record = new OwnRecord(environment, target, 1, () => 0).record();
  expect(record.endedTargets?.length).toBeGreaterThan(1);
  expect(decodeStoredRecord(JSON.stringify(record), 'm1')).toMatchObject({ ok: true });
});
