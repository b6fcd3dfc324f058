import { Reachability } from '@daisyferry/model/member';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { decodeGossip, encodeGossip } from '../src/gossip-codec';
import type { GossipMessage } from '../src/gossip-message';
import { DropReason, GossipMethod, MAX_DATAGRAM_BYTES } from '../src/gossip-message';
import { GossipEngine } from '../src/gossip-engine';
import { fromMemberRow, toMemberRow } from '../src/member-row';
import { START_MS, seededRandom, testMember } from './fake-network';

const SEED = { seed: 20_261_204 };
const KEY = Buffer.from('a shared key of the cluster');

const ref = fc.stringMatching(/^[A-Za-z0-9_-]{8}$/);
const refPairs = fc.array(fc.tuple(ref, fc.nat(1_000)), { maxLength: 8 });
const row = fc
  .tuple(fc.nat(10_000), fc.nat(1_000), fc.constantFrom(...Object.values(Reachability)))
  .map(([number, refutations, reachability]) =>
    toMemberRow({ member: testMember(number), refutations, reachability }),
  );
const bits = fc.nat(9);
const index = fc.nat(511);

const message: fc.Arbitrary<GossipMessage> = fc.record(
  {
    method: fc.constantFrom(...Object.values(GossipMethod)),
    cluster: fc.constant('test'),
    senderRef: ref,
    revision: fc.nat(),
    sequence: fc.nat(),
    probedRef: fc.oneof(ref, fc.constant('')),
    alive: refPairs,
    suspect: refPairs,
    dead: refPairs,
    records: fc.array(row, { maxLength: 2 }),
    requestedRefs: fc.array(ref, { maxLength: 4 }),
    digest: fc.record({ bits, index, digest: fc.nat(2 ** 32 - 1) }),
    listing: fc.record({ bits, index, complete: fc.boolean(), entries: refPairs }),
  },
  {
    requiredKeys: [
      'method',
      'cluster',
      'senderRef',
      'revision',
      'sequence',
      'probedRef',
      'alive',
      'suspect',
      'dead',
      'records',
      'requestedRefs',
    ],
  },
);

const plain: GossipMessage = {
  method: GossipMethod.ping,
  cluster: 'test',
  senderRef: 'AAAAAAAA',
  revision: 7,
  sequence: 1,
  probedRef: 'BBBBBBBB',
  alive: [],
  suspect: [],
  dead: [],
  records: [],
  requestedRefs: [],
};

describe('gossip codec', () => {
  it('decodes every message that it encodes, signed or not', () => {
    fc.assert(
      fc.property(message, fc.boolean(), (sent, isSigned) => {
        const key = isSigned ? KEY : undefined;
        const payload = encodeGossip(sent, key);
        fc.pre(payload.length <= MAX_DATAGRAM_BYTES);
        expect(decodeGossip(payload, 'test', key)).toEqual({ ok: true, message: sent });
      }),
      SEED,
    );
  });

  it('round-trips member rows', () => {
    fc.assert(
      fc.property(row, (sent) => {
        expect(toMemberRow(fromMemberRow(sent))).toEqual(sent);
      }),
      SEED,
    );
  });

  it.each([
    { name: 'oversized', payload: Buffer.alloc(MAX_DATAGRAM_BYTES + 1, '{'), key: undefined },
    { name: 'unsigned', payload: encodeGossip(plain), key: KEY },
    { name: 'unsigned', payload: encodeGossip(plain, Buffer.from('other key')), key: KEY },
    { name: 'unsigned', payload: Buffer.alloc(3), key: KEY },
    { name: 'malformed', payload: Buffer.from('{"jsonrpc":'), key: undefined },
    { name: 'malformed', payload: encodeGossip(plain, KEY), key: undefined },
    { name: 'malformed', payload: encodeGossip({ ...plain, senderRef: 'short' }), key: undefined },
    {
      name: 'otherCluster',
      payload: encodeGossip({ ...plain, cluster: 'production' }),
      key: undefined,
    },
    {
      name: 'otherVersion',
      payload: Buffer.from(encodeGossip(plain).toString().replace('"test",1', '"test",2')),
      key: undefined,
    },
  ] as const)('drops a datagram with reason $name', ({ name, payload, key }) => {
    expect(decodeGossip(payload, 'test', key)).toEqual({ ok: false, reason: DropReason[name] });
  });

  it('drops arbitrary and corrupted bytes without changing the table', () => {
    fc.assert(
      fc.property(
        fc.oneof(
          fc.uint8Array({ maxLength: 1_300 }),
          fc.json().map((text) => Buffer.from(text)),
          fc.tuple(message, fc.nat(400), fc.nat(255)).map(([sent, at, byte]) => {
            const payload = encodeGossip(sent, KEY);
            const place = at % payload.length;
            payload[place] = ((payload[place] ?? 0) + 1 + (byte % 255)) % 256;
            return payload;
          }),
        ),
        (bytes) => {
          const options = {
            self: testMember(0),
            cluster: 'test',
            random: seededRandom(1),
            key: KEY,
          };
          const engine = new GossipEngine(options, START_MS);
          const from = { address: '10.0.0.9', port: 7_000 };
          const effects = engine.handle(Buffer.from(bytes), from, START_MS);
          expect(effects).toEqual([{ kind: 'dropped', reason: expect.any(String) }]);
          expect(engine.table.size).toBe(1);
        },
      ),
      SEED,
    );
  });
});
