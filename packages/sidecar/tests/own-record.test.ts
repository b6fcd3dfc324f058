import { AnnouncedTarget } from '@daisyferry/mesh/announced-target';
import { decodeStoredRecord } from '@daisyferry/peering/record-codec';
import type { DaemonEnvironment } from '@daisyferry/sidecar/daemon-environment';
import { OwnRecord } from '@daisyferry/sidecar/own-record';
import { expect, it } from 'vitest';

it('is readable in the store, whatever the ids of the targets that have ended', () => {
  const target = new AnnouncedTarget();
  // Quotation marks take two characters in JSON.
  for (let number = 100; number < 300; number += 1)
    target.deregister(`${'"'.repeat(197)}${number}`, Number.MAX_SAFE_INTEGER);
  const listen = { peers: { ip: '127.0.0.1', port: 7_620 } };
  const environment = { daemonId: 'm1', zone: 'z', listen } as unknown as DaemonEnvironment;
  const record = new OwnRecord(environment, target, 1, () => 0).record();
  expect(record.endedTargets?.length).toBeGreaterThan(1);
  expect(decodeStoredRecord(JSON.stringify(record), 'm1')).toMatchObject({ ok: true });
});
