import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import { TargetNoticeTable } from '@daisyferry/mesh/target-notice-table';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import { FrameKind, type FrameKindNumber } from '@daisyferry/peering/frame';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import type { OwnRecord } from '@daisyferry/sidecar/own-record';
import type { ConnectedPeer } from '@daisyferry/sidecar/peer-group';
import { RecordExchange } from '@daisyferry/sidecar/record-exchange';
import { describe, expect, it } from 'vitest';

function record(daemonId: string, changes: Partial<DaemonRecord> = {}): DaemonRecord {
  const common = {
    incarnation: 1,
    revision: 1,
    address: new SocketAddress('10.0.0.1', 1),
    zone: 'z',
  };
  return { daemonId, ...common, isLeaving: false, target: undefined, ...changes };
}

/** A daemon with two peers, and the frames that it sends to them. */
class Exchange {
  isReading = false;

  missingReports = 0;

  earlierReports = 0;

  readonly superseded: DaemonRecord[] = [];

  readonly sent: { readonly to: string; readonly kind: FrameKindNumber }[] = [];

  readonly directory = new FleetDirectory();

  readonly targetNotices = new TargetNoticeTable();

  private readonly peers: readonly ConnectedPeer[] = ['a', 'b'].map((daemonId) => ({
    daemonId,
    sender: { sendControl: (kind) => this.sent.push({ to: daemonId, kind }) },
  }));

  readonly records = new RecordExchange({
    directory: this.directory,
    targetNotices: this.targetNotices,
    ownRecord: {
      daemonId: 'own',
      record: () => record('own'),
      supersede: (earlier: DaemonRecord) => this.superseded.push(earlier),
    } as unknown as OwnRecord,
    peers: { connectedPeers: () => this.peers, dataCentrePeers: () => this.peers },
    log: { stateChange: () => undefined, warn: () => undefined } as unknown as EventLog,
    clock: () => 0,
    isReading: () => this.isReading,
    onRecordApplied: () => undefined,
    onRecordMissing: () => {
      this.missingReports += 1;
    },
    onEarlierRecord: () => {
      this.earlierReports += 1;
    },
  });

  receive(kind: FrameKindNumber, content: unknown): void {
    const head = JSON.stringify(content);
    const frame = { kind, stream: 0, head, body: Buffer.alloc(0) };
    this.records.handleFrame(frame, { sendControl: () => undefined });
  }

  requestsBy(nowMs: number): string[] {
    this.records.requestViewIfMissing(nowMs);
    return this.sent.filter(({ kind }) => kind === FrameKind.viewRequest).map(({ to }) => to);
  }
}

describe('RecordExchange', () => {
  it('requests all records from one peer after the other until it has them', () => {
    const exchange = new Exchange();
    expect(exchange.requestsBy(1_000)).toEqual([]);
    expect(exchange.requestsBy(1_500)).toEqual(['a']);
    expect(exchange.requestsBy(2_000)).toEqual(['a']);
    expect(exchange.requestsBy(3_000)).toEqual(['a', 'b']);
    exchange.receive(FrameKind.view, [record('far')]);
    expect(exchange.requestsBy(9_000)).toEqual(['a', 'b']);
    expect(exchange.directory.recordOf('far')).toBeDefined();
  });

  it('requests nothing once a reader of its data centre has reported', () => {
    const exchange = new Exchange();
    exchange.receive(FrameKind.snapshot, [record('own'), record('far')]);
    expect(exchange.requestsBy(5_000)).toEqual([]);
    expect(exchange.missingReports).toBe(0);
  });

  it('keeps what a reader reports as stored until the reader reports its removal', () => {
    const exchange = new Exchange();
    exchange.receive(FrameKind.snapshot, [record('own'), record('far')]);
    expect(exchange.directory.removeExpired(60_000)).toEqual([]);
    exchange.receive(FrameKind.changes, { records: [], removedIds: ['far'] });
    expect(exchange.directory.removeExpired(60_000)).toEqual(['far']);
  });

  it('learns from a reader that its own record is missing', () => {
    const exchange = new Exchange();
    exchange.receive(FrameKind.snapshot, [record('far')]);
    exchange.receive(FrameKind.changes, { records: [], removedIds: ['own'] });
    exchange.receive(FrameKind.recordMissing, '');
    expect(exchange.missingReports).toBe(3);
  });

  it.each([
    ['known', () => undefined],
    ['gone', (directory: FleetDirectory) => directory.removeExpired(60_000)],
  ])('sends a daemon that was started again its last record, which is %s', (_name, expire) => {
    const exchange = new Exchange();
    const endedTargets = [{ targetId: 'i-1', bornUnixMs: 5 }];
    const earlier = record('a', { isLeaving: true, endedTargets });
    const heads: string[] = [];
    const sender = { sendControl: (_kind: FrameKindNumber, head: string) => heads.push(head) };
    exchange.records.greet(earlier, sender);
    expire(exchange.directory);
    exchange.records.greet(record('a', { incarnation: 2 }), sender);
    exchange.records.greet(record('a', { incarnation: 2, revision: 2 }), sender);
    expect(heads).toEqual([JSON.stringify(earlier)]);
  });

  it('takes over what an earlier process knew from a peer', () => {
    const exchange = new Exchange();
    exchange.receive(FrameKind.record, record('own', { incarnation: 0 }));
    exchange.receive(FrameKind.record, { ...record('own'), endedTargets: [{ targetId: 7 }] });
    expect([exchange.superseded.length, exchange.earlierReports]).toEqual([1, 1]);
  });

  it('relies on its own view while it follows the store', () => {
    const exchange = new Exchange();
    exchange.isReading = true;
    exchange.directory.applyRecord(record('far'), 'stored', 0);
    exchange.receive(FrameKind.snapshot, []);
    exchange.receive(FrameKind.changes, { records: [], removedIds: ['far'] });
    expect(exchange.directory.removeExpired(60_000)).toEqual([]);
  });

  it('sends a snapshot only to peers that do not follow the store', () => {
    const exchange = new Exchange();
    exchange.receive(FrameKind.reading, { daemonId: 'a', isReading: true });
    exchange.records.reportSnapshot();
    expect(exchange.sent).toEqual([{ to: 'b', kind: FrameKind.snapshot }]);
  });

  // Guards against a target that entries never use again after one wrong message (RECOVER).
  it('takes a departure back once the daemon of the target states that it was refuted', () => {
    const exchange = new Exchange();
    const target = { targetId: 'i', service: 's', bornUnixMs: 1, slots: 4, coldMs: 0 };
    const incarnation = { targetId: 'i', bornUnixMs: 1 };
    exchange.targetNotices.record(incarnation, { ratePerS: 5, isLeaving: false });
    const left = { ...target, isServing: false, isLeaving: true };
    exchange.receive(FrameKind.record, record('far', { target: left }));
    expect(exchange.targetNotices.isLeaving(incarnation)).toBe(true);
    // A restarted daemon that knows nothing of the departure does not take it back.
    const forgotten = { ...target, isServing: true };
    exchange.receive(FrameKind.record, record('far', { revision: 2, target: forgotten }));
    expect(exchange.targetNotices.isLeaving(incarnation)).toBe(true);
    const returned = { ...forgotten, isLeaving: false };
    exchange.receive(FrameKind.record, record('far', { revision: 3, target: returned }));
    expect(exchange.targetNotices.isLeaving(incarnation)).toBe(false);
    expect(exchange.targetNotices.ratePerS(incarnation)).toBe(5);
  });
});
