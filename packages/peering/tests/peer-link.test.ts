import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import { ExecutionRecordRegistry } from '@daisyferry/mesh/execution-record-registry';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import type { Hello } from '@daisyferry/peering/hello';
import { PeerLink } from '@daisyferry/peering/peer-link';
import { PeerServer } from '@daisyferry/peering/peer-server';
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { BreakableProxy } from './support/breakable-proxy';

const CALL: ForwardedCall = {
  requestId: 'r-1',
  service: 's',
  targetId: 'i-1',
  callerService: 'c',
  route: 'r',
  isIdempotent: false,
  priority: 0,
  remainingMs: 30_000,
  usefulMs: 30_000,
  method: 'POST',
  path: '/',
  fields: [],
};
const BODY = Buffer.from('body');
const REPLY: CallReply = {
  outcome: {
    kind: 'answered',
    status: 200,
    reason: 'OK',
    fields: [],
    body: Buffer.from('done'),
    endsWithConnection: false,
  },
  load: undefined,
};

function record(daemonId: string, incarnation: number): DaemonRecord {
  const common = { revision: 1, address: '', zone: 'z', isLeaving: false, target: undefined };
  return { daemonId, incarnation, ...common };
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function barredOutcome(): CallReply['outcome'] {
  return { kind: 'refused', reason: 'barred', reachedTarget: false, roomInMs: 0 };
}

/** A home whose calls run until the test finishes them. */
class HomeStub {
  incarnation = 1;

  readonly executionRecords = new ExecutionRecordRegistry();

  runs: string[] = [];

  cancelled = 0;

  lostConnections = 0;

  finish: () => void = () => undefined;

  readonly server = new PeerServer({
    hello: (): Hello => ({
      record: record('home', this.incarnation),
      configurationVersion: 1,
      wantsView: false,
    }),
    onHello: () => undefined,
    onCall: (call, _body, deliver) => {
      const opened = this.executionRecords.open(call.requestId, deliver, 0);
      if (opened.kind === 'opened' && opened.record.transition('HAND_OVER')) {
        this.runs.push(call.requestId);
        this.finish = () => this.executionRecords.settle(opened.record, 'ANSWER', REPLY, 0);
      }
      return {
        cancel: () => {
          this.cancelled += 1;
        },
        connectionLost: () => {
          this.lostConnections += 1;
        },
      };
    },
    onResolve: (requestId, deliver) => {
      const found = this.executionRecords.resolve(requestId, 0);
      if (found.reply !== undefined) deliver(found.reply);
      else if (found.isOpen) found.redirectReply(deliver);
      else deliver({ outcome: barredOutcome(), load: undefined });
    },
    onControl: () => undefined,
  });
}

describe('PeerLink', () => {
  let home: HomeStub;
  let proxy: BreakableProxy;
  let link: PeerLink;
  let timer: NodeJS.Timeout;

  beforeEach(async () => {
    home = new HomeStub();
    const address = { ip: '127.0.0.1', port: await freePort() };
    await home.server.listen(address);
    proxy = new BreakableProxy(address);
    link = new PeerLink(
      await proxy.listen(),
      {
        hello: () => ({ record: record('entry', 1), configurationVersion: 1, wantsView: false }),
        onHello: () => undefined,
        onControl: () => undefined,
        onUp: () => undefined,
        onDown: () => undefined,
      },
      () => performance.now(),
    );
    timer = setInterval(() => link.checkTimeouts(performance.now()), 20);
  });

  afterEach(() => {
    clearInterval(timer);
    link.close();
    proxy.close();
    home.server.close();
  });

  it('sends a call and delivers its reply', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    home.finish();
    await vi.waitFor(() => expect(replies).toEqual([REPLY]), 5_000);
  });

  it('delivers the reply of a call that was running when its connection broke', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    proxy.breakConnections();
    await vi.waitFor(() => expect(home.lostConnections).toBe(1), 5_000);
    home.finish();
    await vi.waitFor(() => expect(replies).toEqual([REPLY]), 5_000);
    expect(home.runs).toEqual(['r-1']);
  });

  it('reports an unknown outcome when the home restarted', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    home.incarnation = 2;
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies[0]?.outcome.kind).toBe('unknown'), 5_000);
  });

  it('reports an unknown outcome when the home cannot be reached to query it', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    proxy.refusesConnections = true;
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies[0]?.outcome.kind).toBe('unknown'), 10_000);
  });

  it('immediately reports an unknown outcome of an idempotent call on a broken link', async () => {
    const replies: CallReply[] = [];
    link.call({ ...CALL, isIdempotent: true }, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies[0]?.outcome.kind).toBe('unknown'), 5_000);
  });

  it('reports a call that was never sent as refused', async () => {
    proxy.refusesConnections = true;
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(
      () => expect(replies[0]?.outcome).toMatchObject({ kind: 'refused', reason: 'unreachable' }),
      5_000,
    );
    expect(home.runs).toEqual([]);
  });

  it('notifies the home that the caller cancelled', async () => {
    const sent = link.call(CALL, BODY, () => undefined);
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    sent.cancel();
    await vi.waitFor(() => expect(home.cancelled).toBe(1), 5_000);
    expect(link.outstandingCount).toBe(0);
  });
});
