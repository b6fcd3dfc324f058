import { describe, expect, it } from 'vitest';
import { checkDocument, formatProblem } from '../src/check-document';
import { daemonSettingsSchema } from '../src/daemon-settings';

const listener = { address: '127.0.0.1', port: 0 };
const valid = {
  name: 'vault-quiapo-1',
  cluster: 'dorado',
  service: 'vault',
  dataCentre: 'quiapo',
  region: 'ncr',
  slots: 170,
  connections: 1100,
  listeners: {
    callers: listener,
    local: listener,
    peers: listener,
    gossip: listener,
    admin: listener,
  },
  store: { endpoints: ['http://127.0.0.1:2379'] },
};

describe('daemon settings', () => {
  it('applies defaults', () => {
    const result = checkDocument(daemonSettingsSchema, valid);
    expect(result).toMatchObject({ ok: true, value: { mode: 'full', store: { timeoutMs: 1000 } } });
  });

  it.each([
    { change: { slots: 0 }, path: 'slots', value: '0' },
    { change: { name: 'Vault' }, path: 'name', value: '"Vault"' },
    {
      change: { listeners: { ...valid.listeners, admin: { address: 'localhost', port: 1 } } },
      path: 'listeners.admin.address',
      value: '"localhost"',
    },
    { change: { seeds: [{ address: '127.0.0.1', port: 0 }] }, path: 'seeds[0].port', value: '0' },
  ])('reports the path and value of $path', ({ change, path, value }) => {
    const result = checkDocument(daemonSettingsSchema, { ...valid, ...change });
    if (result.ok) throw new Error('expected the document to be rejected');
    expect(result.problems).toHaveLength(1);
    expect(result.problems[0]).toMatchObject({ path, value });
  });

  it('reports an unknown field', () => {
    const result = checkDocument(daemonSettingsSchema, { ...valid, slotz: 1 });
    if (result.ok) throw new Error('expected the document to be rejected');
    expect(result.problems.map(formatProblem).join()).toContain('slotz');
  });
});
