import { settingsDocument } from '@daisyferry/platform/stand-in/documents';
import { describe, expect, it } from 'vitest';
import { FakeCluster } from './fake-cluster';

function checkPlatformSettings(text: string): Promise<string> {
  const cluster = new FakeCluster();
  cluster.files.set('node.json', text);
  return cluster.run(['settings', 'check-platform', 'node.json']);
}

describe('settings check-platform', () => {
  it('reports the daemon that a valid file configures', async () => {
    const transcript = await checkPlatformSettings(JSON.stringify(settingsDocument()));
    expect(transcript).toContain('node.json: valid, sidecar-1 in z beside a target of teller');
  });

  it.each([
    { field: 'terms.bounds.grace', found: '"grace":"6s"', faulty: '"grace":"soon"' },
    { field: 'network.listenAddresses.ready', found: '127.0.0.1:8302', faulty: 'here' },
    { field: 'self.service', found: '"service":"teller"', faulty: '"service":7' },
  ])('reports the invalid field $field', async ({ field, found, faulty }) => {
    const text = JSON.stringify(settingsDocument());
    expect(text).toContain(found);
    const transcript = await checkPlatformSettings(text.replace(found, faulty));
    expect(transcript).toContain(`node.json: ${field}: `);
    expect(transcript).toContain('exit code 2');
  });

  it('reports a file that is not JSON', async () => {
    expect(await checkPlatformSettings('{')).toContain('not JSON');
  });
});
