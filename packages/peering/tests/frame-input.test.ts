import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import { encodeRequest, encodeResponse } from '@daisyferry/http1/message-writer';
import { RequestReader } from '@daisyferry/http1/request-reader';
import { ResponseReader } from '@daisyferry/http1/response-reader';
import {
  decodeCall,
  decodeCallReply,
  encodeCall,
  encodeCallReply,
} from '@daisyferry/peering/call-codec';
import * as control from '@daisyferry/peering/control-codec';
import { encodeFrame, FrameKind, FrameReader, type Frame } from '@daisyferry/peering/frame';
import { decodeFreshness, decodeQuestion } from '@daisyferry/peering/freshness-codec';
import { decodeQuotaAnswers, decodeQuotaQuestion } from '@daisyferry/peering/quota-codec';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FUZZ, mutatedJson } from '@daisyferry/bench/json-mutations';

const CALL: ForwardedCall = {
  requestId: 'r-1',
  attemptKey: 'k/1',
  service: 's',
  targetId: 'i-1',
  callerService: 'c',
  route: 'r',
  isIdempotent: true,
  priority: 1,
  remainingMs: 900,
  usefulMs: 400,
  method: 'GET',
  path: '/a?b',
  fields: ['If-None-Match', '"x"', 'Accept', '*/*'],
  targetRatePerS: 3,
  account: 'acme',
  repeatShare: 0.5,
};
const LOAD = {
  ...{ running: 1, waiting: 2, limit: 3, serviceMs: 4, level: 1, internalShare: 0.5 },
  ...{ isInternal: true, routeMs: 3, notice: { ratePerS: 2, isLeaving: false }, refusedShare: 0.5 },
};
const ANSWER = {
  kind: 'answered',
  status: 200,
  reason: 'OK',
  fields: ['ETag', '"x"'],
  body: Buffer.from('x'),
  endsWithConnection: false,
} as const;
const REPLIES: readonly CallReply[] = [
  { outcome: ANSWER, load: LOAD, needs: [{ service: 's', calls: 2, refusedShare: 0.5 }] },
  { outcome: { kind: 'refused', reason: 'full', reachedTarget: false, roomInMs: 5 }, load: LOAD },
  { outcome: { kind: 'unknown', detail: 'd' }, load: undefined },
];
const LIMITS = { maxHeaderBytes: 1_000_000, maxBodyBytes: 1_000 };
const LONGEST_MS = 2 ** 31;

/** The request that a target reads, if it reads exactly one. */
function requestAtTarget({ method, path, fields, requestId, targetId }: ForwardedCall) {
  const names = [...fields, 'X-Request-Id', requestId, 'X-Target', targetId, 'Host', 'h'];
  const reader = new RequestReader();
  for (const bytes of encodeRequest(method, path, names, Buffer.alloc(0))) reader.push(bytes);
  const read = reader.next(LIMITS);
  expect(reader.hasPartialRequest).toBe(false);
  return read.kind === 'request' ? read.request.head : read;
}

/** Fields as a target reads them, but those that decide on the framing or the connection. */
function checkCall(call: ForwardedCall): void {
  const numbers = [call.remainingMs, call.usefulMs, call.priority, call.targetRatePerS ?? 0];
  for (const number of numbers) expect(Math.abs(number)).toBeLessThan(LONGEST_MS);
  // A caller may not send these either; the reader refuses them.
  if (call.fields.some((field, index) => index % 2 === 0 && /^host$/i.test(field))) return;
  expect(requestAtTarget(call)).toMatchObject({ method: call.method, target: call.path });
}

function checkReply({ outcome, load, needs = [] }: CallReply): void {
  const figures = [...Object.values(load ?? {}), ...needs.map(({ calls }) => calls)];
  for (const figure of figures) {
    if (typeof figure === 'number') expect(Number.isFinite(figure) && figure >= 0).toBe(true);
  }
  if (outcome.kind === 'refused') expect(outcome.roomInMs).toBeLessThan(LONGEST_MS);
  if (outcome.kind !== 'answered') return;
  const reader = new ResponseReader(() => true);
  for (const bytes of encodeResponse(outcome, false, true)) reader.push(bytes);
  const read = reader.next(false);
  // An answer without a length ends with its connection.
  reader.endOfInput();
  const whole = read.kind === 'incomplete' ? reader.next(false) : read;
  expect(whole).toMatchObject({ response: { status: outcome.status } });
}

describe('frames of a peer that lies', () => {
  // Each of these once made a decoder throw, or gave a value that broke later.
  it('are refused or limited, in cases that were found', () => {
    const reply = (text: string) => decodeCallReply(text).withBody(Buffer.alloc(0)).outcome;
    expect(reply('["unknown",null,{"toString":0,"valueOf":0}]').kind).toBe('unknown');
    expect(reply(`["unknown",null,${'['.repeat(50_000)}${']'.repeat(50_000)}]`).kind).toBe(
      'unknown',
    );
    expect(reply('["refused",null,"full",false,1e999]')).toMatchObject({ roomInMs: 600_000 });
    expect(reply('["refused",null,"of a later build",false,1]').kind).toBe('unknown');
    expect(reply('["answered",null,99,"OK",[],false]').kind).toBe('unknown');
    expect(reply('["answered",null,200,"OK\\r\\nX: 1",[],false]').kind).toBe('unknown');
    expect(reply('["answered",null,200,"OK",["A"],false]').kind).toBe('unknown');
    expect(reply('["answered",null,200,"OK",["Content-Length","9"],false]').kind).toBe('unknown');
    const texts: Partial<ForwardedCall>[] = [
      ...[{ requestId: 'r\r\nX: 1' }, { requestId: '\u010d\u010a' }, { targetId: 'i\n' }],
      ...[{ method: 'GET /x HTTP/1.1\r\n' }, { path: 'x' }, { path: '/a b' }, { path: '/\u0120' }],
      ...[
        { fields: ['A'] },
        { fields: ['A', 'b\r\n'] },
        { fields: ['Transfer-Encoding', 'chunked'] },
      ],
    ];
    for (const text of texts) expect(decodeCall(encodeCall({ ...CALL, ...text }))).toBeUndefined();
    const endless = encodeCall(CALL).replace(',900,400,', ',1e999,-1e999,');
    expect(decodeCall(endless)?.call).toMatchObject({ remainingMs: 3_600_000 });
    expect(control.decodeLevel('{"daemonId":"a","level":1e308}')?.level).toBe(1_000);
    expect(control.decodeConfigurationVersion('{"version":1e308}')).toBeUndefined();
  });

  it('give calls that a target reads as they are, or none', () => {
    const samples = [CALL, { ...CALL, account: undefined, attemptKey: undefined }];
    const heads = samples.map((call): unknown => JSON.parse(encodeCall(call, 3)));
    fc.assert(
      fc.property(mutatedJson(...heads), (text) => {
        const decoded = decodeCall(text);
        if (decoded !== undefined) checkCall(decoded.call);
      }),
      FUZZ,
    );
  });

  it('give replies that a caller can be sent', () => {
    const heads = REPLIES.map((reply): unknown => JSON.parse(encodeCallReply(reply, 3)));
    fc.assert(
      fc.property(mutatedJson(...heads), (text) => {
        const { bodyBytes, withBody } = decodeCallReply(text);
        expect(Number.isSafeInteger(bodyBytes)).toBe(true);
        checkReply(withBody(Buffer.from('x')));
      }),
      FUZZ,
    );
  });

  it('give nothing that cannot be encoded, for the other kinds', () => {
    const record = {
      ...{ daemonId: 'm1', incarnation: 5, revision: 2, address: '10.0.0.1:80', zone: 'z' },
      ...{ isLeaving: false, target: { targetId: 'i', service: 's', slots: 4 } },
    };
    const decoders = [
      ...[control.decodeHello, control.decodeRecords, control.decodeRecordChanges],
      ...[control.decodeLevel, control.decodeReading, control.decodeShortage],
      ...[control.decodeCrashReports, control.decodeResolve, control.decodeSubjectId],
      ...[control.decodeConfigurationVersion, decodeFreshness, decodeQuestion],
      ...[decodeQuotaQuestion, decodeQuotaAnswers],
    ];
    const heads = mutatedJson(
      { record, processKey: 'p', configurationVersion: 3, wantsView: true, isReading: true },
      { records: [record], removedIds: ['a'] },
      { daemonId: 'a', level: 0.5, isReading: true, version: 3, service: 's', refusedShare: 1 },
      [1, 'acme', 2, 3, 4],
      [['f', 0, 3, 12]],
    );
    fc.assert(
      fc.property(heads, (text) => {
        for (const decode of decoders) JSON.stringify(decode(text));
      }),
      FUZZ,
    );
  });

  it('are read alike however they are split, or end the connection', () => {
    const frame = fc
      .tuple(fc.constantFrom(...Object.values(FrameKind)), fc.nat(), fc.string(), fc.uint8Array())
      .map(([kind, stream, head, body]) => encodeFrame(kind, stream, head, Buffer.from(body)));
    const bytes = fc
      .tuple(fc.array(frame, { maxLength: 4 }), fc.nat(60), fc.uint8Array({ maxLength: 4 }))
      .map(([frames, at, other]) => {
        const all = Buffer.concat([...frames, Buffer.alloc(1)]);
        Buffer.from(other).copy(all, at % all.length);
        return all;
      });
    fc.assert(
      fc.property(bytes, fc.integer({ min: 1, max: 50 }), (all, size) => {
        const read = (length: number) => {
          const reader = new FrameReader();
          const frames: Frame[] = [];
          let isUsable = true;
          for (let from = 0; isUsable && from < all.length; from += length)
            isUsable = reader.push(all.subarray(from, from + length), (one) => frames.push(one));
          return { isUsable, frames };
        };
        expect(read(size)).toEqual(read(all.length + 1));
      }),
      FUZZ,
    );
  });
});
