import { decodeCall, decodeCallReply, encodeCall } from '@daisyferry/peering/call-codec';
import {
  decodeConfigurationVersion,
  decodeCrashReports,
  decodeHello,
  decodeLevel,
  decodeRecord,
  decodeRecords,
  decodeResolve,
  decodeShortage,
  encodeCrashReports,
  encodeShortage,
} from '@daisyferry/peering/control-codec';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const RECORD = {
  daemonId: 'm1',
  incarnation: 5,
  revision: 2,
  address: '10.0.0.1:80',
  zone: 'z',
  isLeaving: false,
  target: { targetId: 'i-1', service: 's', slots: 4, isServing: true, coldMs: 0 },
};

describe('heads of control frames', () => {
  it('ignores fields of a newer build', () => {
    const text = JSON.stringify({ ...RECORD, weight: 3 });
    expect(JSON.parse(JSON.stringify(decodeRecord(text)))).toEqual(RECORD);
    const hello = JSON.stringify({ record: RECORD, configurationVersion: 7, codecs: ['x'] });
    expect(decodeHello(hello)).toMatchObject({ configurationVersion: 7, wantsView: false });
  });

  it.each(Object.keys(RECORD).filter((name) => name !== 'target'))(
    'rejects a record without a readable %s',
    (name) => {
      expect(decodeRecord(JSON.stringify({ ...RECORD, [name]: null }))).toBeUndefined();
    },
  );

  it('leaves out the records of a list that cannot be read', () => {
    const list = [
      RECORD,
      'x',
      { ...RECORD, target: { service: 's' } },
      { ...RECORD, target: null },
    ];
    expect(decodeRecords(JSON.stringify(list))).toHaveLength(2);
  });

  it('never throws, whatever a peer sends', () => {
    const decoders = [
      decodeRecord,
      decodeHello,
      decodeConfigurationVersion,
      decodeLevel,
      decodeResolve,
      decodeCall,
      (text: string) => decodeCallReply(text).withBody(Buffer.alloc(0)),
    ];
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
        for (const decode of decoders) decode(text);
        expect(decodeRecords(text)).toBeInstanceOf(Array);
      }),
    );
  });

  it('treats a reply that cannot be read as an unknown outcome', () => {
    for (const text of ['', '[]', '["answered",null,"200"]', '["refused",null]', '["later",null]'])
      expect(decodeCallReply(text).withBody(Buffer.alloc(0)).outcome.kind).toBe('unknown');
  });

  it('reads reports on crashes and leaves out those that it cannot read', () => {
    const reports = [{ fingerprint: 'f', clearances: 0, crashes: 3, ageMs: 12 }];
    expect(decodeCrashReports(encodeCrashReports(reports))).toEqual(reports);
    for (const bad of ['null', '{}', '[1]', '[["f",0,-1,0]]', '[["f",0,1.5,0]]', '[[1,0,1,0]]']) {
      expect(decodeCrashReports(bad)).toEqual([]);
    }
  });

  it('rejects a call with an item of another type', () => {
    const call = {
      requestId: 'r',
      attemptKey: 'e/1',
      service: 's',
      targetId: 'i',
      callerService: 'c',
      route: 'p',
      isIdempotent: false,
      priority: 0,
      remainingMs: 5,
      usefulMs: 5,
      method: 'GET',
      path: '/',
      fields: ['A', 'b'],
    };
    const items = JSON.parse(encodeCall(call)) as unknown[];
    expect(decodeCall(JSON.stringify(items))).toEqual({ call, bodyBytes: 0 });
    expect(decodeCall(encodeCall(call, 70_000))?.bodyBytes).toBe(70_000);
    for (const index of items.keys()) {
      const changed = items.map((item, position) => (position === index ? null : item));
      expect(decodeCall(JSON.stringify(changed))).toBeUndefined();
    }
  });
});

describe('the shortage of a service', () => {
  it('is decoded as encoded, to hundredths', () => {
    const shortage = { service: 'holdings', refusedShare: 0.55, retryPace: 0.25 };
    expect(decodeShortage(encodeShortage(shortage))).toEqual(shortage);
  });

  it('is limited to its range, and left out without its fields', () => {
    const text = JSON.stringify({ service: 's', refusedShare: 7, retryPace: -1 });
    expect(decodeShortage(text)).toEqual({ service: 's', refusedShare: 1, retryPace: 0 });
    for (const bad of ['', '[]', 'null', '{"service":"s"}', '{"service":1,"refusedShare":0}'])
      expect(decodeShortage(bad)).toBeUndefined();
  });
});
