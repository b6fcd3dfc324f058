import {
  decodeCall,
  decodeCallReply,
  encodeCall,
  encodeCallReply,
} from '@daisyferry/peering/call-codec';
import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import { encodeFrame, FrameKind, FrameReader, type Frame } from '@daisyferry/peering/frame';
import { describe, expect, it } from 'vitest';

const PART_BYTES = 1_000;
const SMALL_FRAME_BYTES = 500_000;

describe('FrameReader', () => {
  const bytes = Buffer.concat([
    encodeFrame(FrameKind.call, 7, '["grüße"]', Buffer.from('body')),
    encodeFrame(FrameKind.ping, 0, ''),
  ]);

  it.each([1, 5, 13, 1_000])('parses frames that arrive %i bytes at a time', (size) => {
    const reader = new FrameReader();
    const frames: Frame[] = [];
    for (let from = 0; from < bytes.length; from += size) {
      expect(reader.push(bytes.subarray(from, from + size), (frame) => frames.push(frame))).toBe(
        true,
      );
    }
    expect(frames.map(({ kind, stream, head }) => [kind, stream, head])).toEqual([
      [FrameKind.call, 7, '["grüße"]'],
      [FrameKind.ping, 0, ''],
    ]);
    expect(frames[0]?.body.toString()).toBe('body');
  });

  it('parses a frame that arrives in small parts in time that grows with its length', () => {
    const readMs = (frameBytes: number) => {
      const parts = frameBytes / PART_BYTES;
      const frame = encodeFrame(FrameKind.configuration, 0, 'x'.repeat(frameBytes));
      const reader = new FrameReader();
      const frames: Frame[] = [];
      const startMs = performance.now();
      for (let part = 0; part <= parts; part += 1) {
        const chunk = frame.subarray(part * PART_BYTES, (part + 1) * PART_BYTES);
        reader.push(chunk, (read) => frames.push(read));
      }
      expect(frames.length).toBe(1);
      return performance.now() - startMs;
    };
    readMs(SMALL_FRAME_BYTES);
    const smallMs = Math.min(...Array.from({ length: 5 }, () => readMs(SMALL_FRAME_BYTES)));
    const largeMs = Math.min(...Array.from({ length: 3 }, () => readMs(8 * SMALL_FRAME_BYTES)));
    // The time of a quadratic parser grows by 64.
    expect(largeMs).toBeLessThan(24 * smallMs);
  });

  it.each([
    ['a length past the limit', Buffer.from('ffffffff00000000000000000000', 'hex')],
    ['a head longer than its frame', Buffer.from('000000090100000000000000ff', 'hex')],
  ])('rejects %s', (_name, malformed) => {
    expect(new FrameReader().push(malformed, () => undefined)).toBe(false);
  });
});

const CALL: ForwardedCall = {
  requestId: 'r-1',
  attemptKey: 'e/1',
  service: 's',
  targetId: 'i-1',
  callerService: 'c',
  route: 'r',
  isIdempotent: false,
  priority: 1,
  remainingMs: 500,
  usefulMs: 100,
  method: 'POST',
  path: '/a?b=c',
  fields: ['Host', 'h'],
};

const LOAD = { running: 1, waiting: 2, limit: 3, serviceMs: 4.5, level: 0.25, internalShare: 0.9 };

describe('call codec', () => {
  it('round-trips a call', () => {
    expect(decodeCall(encodeCall(CALL))?.call).toEqual(CALL);
  });

  it.each(['e/1', undefined])(
    'round-trips what the entry knows of target and request, with the attempt key %s',
    (attemptKey) => {
      const evidence = { clearances: 1, crashes: 2 };
      for (const known of [
        { targetRatePerS: 12.5 },
        { evidence },
        { targetRatePerS: 0, evidence },
      ]) {
        const call = { ...CALL, attemptKey, ...known };
        expect(decodeCall(encodeCall(call))?.call).toEqual(call);
      }
    },
  );

  it('reads a call of a build that sends no attempt key and no length', () => {
    const items = JSON.parse(encodeCall(CALL)) as unknown[];
    const call = { ...CALL, attemptKey: undefined };
    expect(decodeCall(JSON.stringify(items.slice(0, 12)))).toEqual({ call, bodyBytes: 0 });
  });

  const replies: readonly CallReply[] = [
    {
      outcome: {
        kind: 'answered',
        status: 200,
        reason: 'OK',
        fields: ['A', 'b'],
        body: Buffer.from('x'),
        endsWithConnection: false,
      },
      load: { ...LOAD, isInternal: true, routeMs: 12.5 },
    },
    {
      outcome: { kind: 'refused', reason: 'full', reachedTarget: false, roomInMs: 10 },
      load: { ...LOAD, isInternal: undefined, routeMs: undefined },
    },
    {
      outcome: { kind: 'unknown', detail: 'lost' },
      load: { ...LOAD, isInternal: true, routeMs: 4.5, notice: { ratePerS: 0, isLeaving: true } },
    },
    {
      outcome: { kind: 'unknown', detail: 'lost' },
      load: {
        ...LOAD,
        isInternal: false,
        routeMs: 4.5,
        notice: { ratePerS: undefined, isLeaving: false },
      },
    },
    { outcome: { kind: 'unknown', detail: 'lost' }, load: undefined },
    {
      outcome: { kind: 'unknown', detail: 'crashed', evidence: { clearances: 0, crashes: 3 } },
      load: undefined,
    },
  ];

  it.each(replies)('round-trips a reply of kind $outcome.kind', (reply) => {
    const body = reply.outcome.kind === 'answered' ? reply.outcome.body : Buffer.alloc(0);
    expect(decodeCallReply(encodeCallReply(reply)).withBody(body)).toEqual(reply);
  });

  it.each([-1, 1.5, '5', true, 1e300])(
    'does not take a reply for whole whose body has the length %j',
    (bodyBytes) => {
      const items = ['answered', null, 200, 'OK', [], false, bodyBytes];
      const decoded = decodeCallReply(JSON.stringify(items));
      expect(decoded.bodyBytes).toBe(0);
      expect(decoded.withBody(Buffer.alloc(0)).outcome.kind).toBe('unknown');
    },
  );
});
