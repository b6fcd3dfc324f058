import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { mintTicket } from '../src/ticket';
import { TicketCodec } from '../src/ticket-codec';

const SEED = 3;
const HOME = { name: 'vault-quiapo-2', incarnation: '0123456789abcdef' };
const TICKET = mintTicket(HOME, 60_000, 'AbCdEfGhIjKlMnOpQrStUv', 1_700_000_000_000);
const KEY = Buffer.alloc(32, 1);
const signed = new TicketCodec(KEY);
const unsigned = new TicketCodec(undefined);

describe('TicketCodec', () => {
  it.each([signed, unsigned])('decodes what it encoded', (codec) => {
    expect(codec.decode(codec.encode(TICKET))).toEqual({ ok: true, ticket: TICKET });
  });

  it.each([
    { title: 'an empty text', codec: unsigned, text: '', problem: 'unknown version' },
    { title: 'another version', codec: unsigned, text: '2.a', problem: 'unknown version' },
    { title: 'a long text', codec: unsigned, text: '1'.repeat(300), problem: 'too long' },
    {
      title: 'an unsigned ticket when a key is set',
      codec: signed,
      text: unsigned.encode(TICKET),
      problem: 'wrong number of parts',
    },
    {
      title: 'a signature by another key',
      codec: signed,
      text: new TicketCodec(Buffer.alloc(32, 2)).encode(TICKET),
      problem: 'bad signature',
    },
    {
      title: 'a short nonce',
      codec: unsigned,
      text: unsigned.encode({ ...TICKET, nonce: 'abc' }),
      problem: 'bad nonce',
    },
    {
      title: 'a bad incarnation',
      codec: unsigned,
      text: unsigned.encode({ ...TICKET, home: { ...HOME, incarnation: 'x' } }),
      problem: 'bad incarnation',
    },
    {
      title: 'a bad home',
      codec: unsigned,
      text: unsigned.encode({ ...TICKET, home: { ...HOME, name: 'A' } }),
      problem: 'bad home name',
    },
  ])('rejects $title', ({ codec, text, problem }) => {
    expect(codec.decode(text)).toEqual({ ok: false, problem });
  });

  it('decodes any text without throwing, and rejects altered signed tickets', () => {
    const text = signed.encode(TICKET);
    const altered = fc
      .tuple(fc.nat({ max: text.length - 1 }), fc.string({ minLength: 1, maxLength: 1 }))
      .map(([index, letter]) => text.slice(0, index) + letter + text.slice(index + 1));
    const hostile = fc.oneof(fc.string({ maxLength: 250 }), altered);
    fc.assert(
      fc.property(hostile, (found) => {
        expect(signed.decode(found).ok).toBe(found === text);
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });
});
