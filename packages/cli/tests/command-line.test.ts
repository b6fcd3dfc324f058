import { readFileSync } from 'node:fs';
import { Code, ConnectError } from '@connectrpc/connect';
import { describe, expect, it } from 'vitest';
import { FakeCluster } from './fake-cluster';

const EXAMPLE_POLICIES = new URL('../../../examples/dorado/policies/', import.meta.url);

type CommandStep = string | ((cluster: FakeCluster) => unknown);

const teller = readFileSync(new URL('teller.json', EXAMPLE_POLICIES), 'utf8');
const vault = readFileSync(new URL('vault.json', EXAMPLE_POLICIES), 'utf8');
const fewerRetries = teller.replace('"tokensPerRoot": 3', '"tokensPerRoot": 1');
const invalidPolicy = teller.replace('"class": "money"', '"class": "monet"');

function setStoreFaults(mode: 'ok' | 'down' | 'loseAnswers'): CommandStep {
  return (cluster) => cluster.store.setFaults({ mode, delayMs: 0 });
}

function failCallsWith(failure: Error): CommandStep {
  return (cluster) => {
    Object.assign(cluster, { failure });
  };
}

const CONNECTION_REFUSED = Object.assign(new Error('connect ECONNREFUSED'), {
  code: 'ECONNREFUSED',
});

const COMMAND_SEQUENCES: Readonly<Record<string, readonly CommandStep[]>> = {
  'policy-lifecycle': [
    'policy list',
    'policy apply teller.json vault.json --dry-run',
    'policy apply teller.json',
    'policy apply teller.json --expected-revision 0',
    'policy diff fewer-retries.json',
    'policy apply fewer-retries.json --author ben',
    'policy list',
    'policy get teller',
    'policy diff --service teller --revision 1',
    'policy withdraw teller',
    'policy get teller',
    'policy get teller --revision 1 --json',
    'policy history',
    'policy history teller --limit 1 --json',
  ],
  'policy-refused': [
    'policy apply broken.json',
    'policy diff broken.json',
    'policy diff',
    'policy apply text.json',
    'policy apply missing.json',
    'policy apply teller.json --operation-id !',
    'policy apply teller.json --operation-id once',
    'policy apply fewer-retries.json --operation-id once',
    'policy get vault',
    'policy apply vault.json broken.json vault.json',
    'policy apply vault.json teller.json --expected-revision 2',
    'policy list',
  ],
  'store-faults': [
    setStoreFaults('down'),
    'policy apply teller.json --expected-revision 0 --json',
    'policy history',
    setStoreFaults('loseAnswers'),
    'policy apply teller.json --expected-revision 0',
    (cluster) =>
      cluster.store.planFaults(['ok', 'ok', 'ok', 'loseAnswers', ...Array(60).fill('down')]),
    'policy apply fewer-retries.json --expected-revision 1 --operation-id lost',
    (cluster) => cluster.store.planFaults([]),
    setStoreFaults('ok'),
    'policy settle lost',
    'policy settle never-sent',
    'policy apply teller.json --operation-id never-sent',
  ],
  'daemon-lost': [
    failCallsWith(new ConnectError('socket hang up', Code.Aborted)),
    'policy apply teller.json --expected-revision 0 --operation-id lost',
    'policy settle lost',
    'drain',
    failCallsWith(
      new ConnectError(
        'connect ECONNREFUSED',
        Code.Unavailable,
        undefined,
        undefined,
        CONNECTION_REFUSED,
      ),
    ),
    'policy apply teller.json --expected-revision 0',
    'members',
    failCallsWith(new ConnectError('deadline exceeded', Code.DeadlineExceeded)),
    'policy withdraw teller --expected-revision 1 --operation-id late',
    'status',
    failCallsWith(new TypeError('internal fault')),
    'status',
  ],
  fleet: [
    'members',
    'members --service vault --json',
    'drain teller-quiapo-1',
    'drain teller-quiapo-1 --force',
    'status',
    'status --revision 5',
    'status --json',
    'explain',
    'explain unknown',
  ],
  settings: [
    'settings check good.json',
    'settings check bad.json',
    'settings check open.json',
    'settings check bad.json --json',
    'settings schema --output schema.json',
  ],
  help: [
    '--help',
    'policy --help',
    'policy apply --help',
    'polici',
    'policy',
    'drain --forced',
    'explain --limit 0',
    'explain --limit 1 --limit 2',
    'members --service a --service b',
  ],
};

const listener = { address: '127.0.0.1', port: 0 };

const settings = {
  name: 'vault-quiapo-1',
  cluster: 'dorado',
  service: 'vault',
  dataCentre: 'quiapo',
  region: 'ncr',
  slots: 170,
  connections: 1_100,
  listeners: {
    callers: listener,
    local: listener,
    peers: listener,
    gossip: listener,
    admin: listener,
  },
  store: { endpoints: ['http://127.0.0.1:2379'] },
};

const nonLoopbackListeners = {
  ...settings.listeners,
  admin: { address: '10.0.0.1', port: 7_400 },
  gossip: { address: '10.0.0.1', port: 7_301 },
};

function createCluster(): FakeCluster {
  const cluster = new FakeCluster();
  const files = {
    'teller.json': teller,
    'fewer-retries.json': fewerRetries,
    'vault.json': vault,
    'broken.json': invalidPolicy,
    'text.json': 'teller',
    'good.json': JSON.stringify(settings),
    'open.json': JSON.stringify({ ...settings, listeners: nonLoopbackListeners }),
    'bad.json': JSON.stringify({ ...settings, slots: 'many', zone: 1, advertisedAddress: 'here' }),
  };
  for (const [file, text] of Object.entries(files)) cluster.files.set(file, text);
  return cluster;
}

describe('command line', () => {
  it.each(Object.entries(COMMAND_SEQUENCES))(
    'prints the expected transcript of the commands %s',
    async (name, steps) => {
      const cluster = createCluster();
      const transcript: string[] = [];
      for (const step of steps) {
        if (typeof step === 'string')
          transcript.push(await cluster.run(step.split(' ').filter(Boolean)));
        else step(cluster);
      }
      await expect(transcript.join('\n')).toMatchFileSnapshot(`golden/${name}.txt`);
    },
  );
});
