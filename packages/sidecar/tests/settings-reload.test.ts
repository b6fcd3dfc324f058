import { compareSettings } from '@daisyferry/sidecar/settings-reload';
import { decodeSettings } from '@daisyferry/platform/settings';
import { settingsDocument } from '@daisyferry/platform/stand-in/documents';
import { describe, expect, it } from 'vitest';

function settingsWith(modify: (document: ReturnType<typeof settingsDocument>) => void) {
  const document = settingsDocument();
  modify(document);
  return decodeSettings(JSON.stringify(document));
}

describe('compareSettings', () => {
  const started = settingsWith(() => undefined);

  it('finds no change in the same settings, with or without unknown fields', () => {
    const same = settingsWith((document) => Object.assign(document, { unknown: true }));
    const change = compareSettings(started, started.bounds, same);
    expect(change).toEqual({ applied: [], needsRestart: [] });
  });

  it('applies bounds, and names what a running process keeps', () => {
    const next = settingsWith(({ self, network, terms }) => {
      Object.assign(self, { nodeName: 'other' });
      Object.assign(network.listenAddresses, { outbound: '127.0.0.1:9000' });
      Object.assign(terms.bounds, { grace: '9s', budgetSlack: 60 });
    });
    expect(compareSettings(started, started.bounds, next)).toEqual({
      applied: ['bounds.graceMs', 'bounds.retrySlack'],
      needsRestart: ['daemonId', 'listen.callers.port'],
    });
  });

  it('compares bounds with those in force, not with those of the start', () => {
    const bounds = { ...started.bounds, retryRatio: 0.1 };
    expect(compareSettings(started, bounds, started).applied).toEqual(['bounds.retryRatio']);
  });
});
