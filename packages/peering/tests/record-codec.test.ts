import { decodeRecord } from '@daisyferry/peering/control-codec';
import { decodeStoredRecord } from '@daisyferry/peering/record-codec';
import fc from 'fast-check';
import { createConnection } from 'node:net';
import { describe, expect, it } from 'vitest';
import { FUZZ } from '@daisyferry/bench/json-mutations';

const TARGET = { targetId: 'i-1', service: 's', slots: 4, isServing: true, coldMs: 0 };
const RECORD = {
  daemonId: 'm1',
  incarnation: 5,
  revision: 2,
  address: '10.0.0.1:80',
  zone: 'z',
  isLeaving: false,
  target: TARGET,
};

/** JSON with an object or a list nested in itself. */
function nested(depth: number): string {
  return `${'{"a":['.repeat(depth)}${']}'.repeat(depth)}`;
}

const ODD_ADDRESSES = [
  ...['unknown', '', ':', ':80', '10.0.0.1', '10.0.0.1:', '10.0.0.1:x', '10.0.0.1:80x'],
  ...[
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '10.0.0.1:65536',
    '10.0.0.1:1e3',
    '10.0.0.1: 80',
    '10.0.0.1:8.5',
  ],
  ...['host:80', '::1:80', '[::1]:80', '10.0.0:80', '10.0.0.256:80', '10.0.0.1:80:80'],
];
const ODD_TEXTS = ['', 'a b', 'a\r\nX: y', 'a\0', '\u010d\u010a', 'x'.repeat(300), '__proto__\n'];
const ODD_NUMBERS = [-1, 0.5, 1e308, 2 ** 53, Number.MAX_SAFE_INTEGER];

const oddValue = fc.oneof(
  fc.constantFrom<unknown>(...ODD_ADDRESSES, ...ODD_TEXTS, ...ODD_NUMBERS, -0, null, true, [], {}),
  fc.jsonValue(),
  fc.double(),
  fc.tuple(fc.ipV4(), fc.integer()).map(([ip, port]) => `${ip}:${port}`),
);
const fieldName = fc.constantFrom(...Object.keys(RECORD), ...Object.keys(TARGET), '__proto__', 'x');
const mutations = fc.array(fc.tuple(fieldName, oddValue), { maxLength: 3 });

function mutate(changes: readonly (readonly [string, unknown])[], isOfTarget: boolean): string {
  const values = new Map<string, unknown>(Object.entries(isOfTarget ? TARGET : RECORD));
  for (const [name, value] of changes) values.set(name, value);
  const fields = [...values].map(
    ([key, value]) => `${JSON.stringify(key)}:${JSON.stringify(value)}`,
  );
  const object = `{${fields.join()}}`;
  return isOfTarget ? JSON.stringify({ ...RECORD, target: 0 }).replace(':0', `:${object}`) : object;
}

describe('entries of other writers', () => {
  it.each(ODD_ADDRESSES)('leaves out an entry with the address %j', (address) => {
    const reading = decodeStoredRecord(JSON.stringify({ ...RECORD, address }), 'm1');
    expect(reading).toMatchObject({ ok: false, problem: expect.stringContaining('address: ') });
  });

  it('leaves out an entry of which another field cannot be used', () => {
    const texts = [
      ...ODD_TEXTS.flatMap((text) => [
        { daemonId: text },
        { target: { ...TARGET, targetId: text } },
      ]),
      ...[-1, 0.5, 1e308, 2 ** 53].flatMap((number) => [
        ...[{ incarnation: number }, { revision: number }],
        ...[
          { target: { ...TARGET, slots: number } },
          { target: { ...TARGET, bornUnixMs: number } },
        ],
      ]),
      // No incarnation of the daemon itself could be greater.
      ...[{ incarnation: Number.MAX_SAFE_INTEGER }, { target: [] }, { daemonId: 'm2' }],
    ].map((change) => JSON.stringify({ ...RECORD, ...change }));
    texts.push(nested(100_000), nested(1_000), '', '[]', '"x"', `{"pad":"${'x'.repeat(20_000)}"}`);
    texts.push(JSON.stringify(RECORD).replace('"coldMs":0', '"coldMs":1e999'));
    for (const text of texts)
      expect(decodeStoredRecord(text, 'm1').ok, text.slice(0, 99)).toBe(false);
  });

  it('keeps nothing of a record that cannot be encoded again', () => {
    const text = JSON.stringify(RECORD).replace('{', `{"x":${nested(50_000)},`);
    expect(JSON.parse(JSON.stringify(decodeRecord(text)))).toEqual(RECORD);
  });

  it('reads a usable record or none, whatever is written', () => {
    fc.assert(
      fc.property(mutations, fc.boolean(), (changes, isOfTarget) => {
        const reading = decodeStoredRecord(mutate(changes, isOfTarget), 'm1');
        if (!reading.ok) return;
        const { record } = reading;
        // Connecting throws at once for an address that is none.
        createConnection({
          host: record.address.ip,
          port: record.address.port,
          lookup: expect.fail,
        })
          .on('error', () => undefined)
          .destroy();
        const { incarnation, revision, target = TARGET } = record;
        for (const number of [incarnation + 1, revision + 1, target.slots, target.coldMs])
          expect(Number.isSafeInteger(Math.round(number)) && number >= 0).toBe(true);
        expect(target.targetId).toMatch(/^[!-~]+$/);
        expect(decodeStoredRecord(JSON.stringify(record), 'm1')).toEqual(reading);
      }),
      FUZZ,
    );
  });
});
