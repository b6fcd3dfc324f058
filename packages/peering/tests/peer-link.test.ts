import { BreakableProxy } from '@daisyferry/bench/breakable-proxy';
import type { CallReply, ForwardedCall } from '@daisyferry/mesh/forwarded-call';
import { ExecutionRecordRegistry } from '@daisyferry/mesh/execution-record-registry';
import type { DaemonRecord } from '@daisyferry/mesh/daemon-record';
import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import { SocketAddress } from '@daisyferry/mesh/socket-address';
import { decodeCallReply, encodeCall, encodeCallReply } from '@daisyferry/peering/call-codec';
import { encodeFrame, FrameKind, FrameReader } from '@daisyferry/peering/frame';
import type { InboundCall } from '@daisyferry/peering/inbound-peer';
import type { Hello } from '@daisyferry/peering/hello';
import { PeerLink } from '@daisyferry/peering/peer-link';
import { PeerServer } from '@daisyferry/peering/peer-server';
import { createConnection, createServer, type AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

/** Memory of the head of the calls of these tests. */
const MAX_HEAD_BYTES = 1_000;
const CALL: ForwardedCall = {
  requestId: 'r-1',
  attemptKey: 'entry/1',
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
  const common = {
    revision: 1,
    address: new SocketAddress('10.0.0.1', 1),
    zone: 'z',
    isLeaving: false,
    target: undefined,
  };
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
  daemonId = 'home';

  incarnation = 1;

  processKey: string | undefined;

  acceptsBodyParts = true;

  executionRecords = new ExecutionRecordRegistry();

  runs: string[] = [];

  cancelled = 0;

  lostConnections = 0;

  closedConnections = 0;

  readonly failures: string[] = [];

  handleControl: () => void = () => undefined;

  finish: () => void = () => undefined;

  readonly bufferBudget = new BufferBudget(2_000_000);

  bodies: Buffer[] = [];

  reply = REPLY;

  private readonly inboundCall: InboundCall = {
    cancel: () => {
      this.cancelled += 1;
    },
    connectionLost: () => {
      this.lostConnections += 1;
    },
  };

  readonly server = new PeerServer(
    {
      hello: (): Hello => ({
        record: record(this.daemonId, this.incarnation),
        processKey: this.processKey,
        configurationVersion: 1,
        wantsView: false,
        isReading: false,
        acceptsBodyParts: this.acceptsBodyParts,
        answersPings: true,
      }),
      onHello: () => undefined,
      onCall: (call, body, deliver) => {
        this.bodies.push(body);
        const opened = this.executionRecords.open(call, deliver, 0);
        if (opened.kind === 'opened' && opened.record.transition('HAND_OVER')) {
          this.runs.push(call.requestId);
          this.finish = () => this.executionRecords.settle(opened.record, 'ANSWER', this.reply, 0);
        }
        return this.inboundCall;
      },
      onResolve: (attempt, deliver) => {
        const found = this.executionRecords.resolve(attempt, 0);
        if (found.reply !== undefined) deliver(found.reply);
        else if (found.isOpen) found.redirectReply(deliver);
        else deliver({ outcome: barredOutcome(), load: undefined });
        return found.isOpen ? this.inboundCall : undefined;
      },
      onControl: () => this.handleControl(),
      onClosed: () => {
        this.closedConnections += 1;
      },
      onFailure: (error, frameKind) => this.failures.push(`${frameKind}: ${String(error)}`),
      onAcceptFailed: (error) => this.failures.push(error.message),
    },
    this.bufferBudget,
    () => performance.now(),
  );
}

describe('PeerLink', () => {
  let home: HomeStub;
  let proxy: BreakableProxy;
  let address: { readonly host: string; readonly port: number };
  let link: PeerLink;
  let timer: NodeJS.Timeout;
  let downs: { readonly reason: string; readonly wasUnresponsive: boolean }[];
  let ups: number;
  let onHello: () => void;
  let handleLinkControl: () => void;
  const linkFailures: number[] = [];
  let entryBudget: BufferBudget;

  beforeEach(async () => {
    downs = [];
    ups = 0;
    onHello = () => undefined;
    handleLinkControl = () => undefined;
    home = new HomeStub();
    address = { host: '127.0.0.1', port: await freePort() };
    await home.server.listen({ ip: address.host, port: address.port });
    entryBudget = new BufferBudget(2_000_000);
    proxy = new BreakableProxy({ ip: address.host, port: address.port });
    link = new PeerLink(
      'home',
      await proxy.listen(),
      {
        hello: () => ({
          record: record('entry', 1),
          processKey: 'entry/1',
          configurationVersion: 1,
          wantsView: false,
          isReading: false,
          acceptsBodyParts: true,
          answersPings: true,
        }),
        onHello: () => onHello(),
        onControl: () => handleLinkControl(),
        onFailure: (_error, frameKind) => linkFailures.push(frameKind),
        onUp: () => {
          ups += 1;
        },
        onDown: (reason, wasUnresponsive) => downs.push({ reason, wasUnresponsive }),
      },
      () => performance.now(),
      entryBudget,
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

  it('ends at both daemons, and is opened anew, when the connection goes silent for good', async () => {
    const homeTimer = setInterval(() => home.server.checkTimeouts(performance.now()), 20);
    link.connect();
    await vi.waitFor(() => expect(ups).toBe(1), 5_000);
    proxy.silenceConnections();
    await vi.waitFor(() => expect(home.closedConnections).toBe(1), 10_000);
    await vi.waitFor(() => expect(ups).toBe(2), 10_000);
    expect(downs).toEqual([{ reason: 'probe timed out', wasUnresponsive: true }]);
    clearInterval(homeTimer);
  });

  it('is probed soon when an answer fails to come', async () => {
    link.connect();
    await vi.waitFor(() => expect(ups).toBe(1), 5_000);
    proxy.silenceConnections();
    const askedAtMs = performance.now();
    link.sendControl(FrameKind.freshnessRequest, '[1]');
    clearInterval(timer);
    for (let elapsedMs = 0; elapsedMs <= 1_200; elapsedMs += 100)
      link.checkTimeouts(askedAtMs + elapsedMs);
    expect(downs).toEqual([{ reason: 'probe timed out', wasUnresponsive: true }]);
  });

  it('reports an unknown outcome when the home restarted', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    home.incarnation = 2;
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies[0]?.outcome.kind).toBe('unknown'), 5_000);
  });

  it('reports an unknown outcome when another process of the home has its incarnation', async () => {
    home.processKey = 'home/1';
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    home.processKey = 'home/2';
    home.executionRecords = new ExecutionRecordRegistry();
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies[0]?.outcome.kind).toBe('unknown'), 5_000);
  });

  it('neither calls nor queries another daemon that responds at the address', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    home.daemonId = 'other';
    home.executionRecords = new ExecutionRecordRegistry();
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies[0]?.outcome.kind).toBe('unknown'), 5_000);
    link.call({ ...CALL, requestId: 'r-2' }, BODY, (reply) => replies.push(reply));
    await vi.waitFor(
      () => expect(replies[1]?.outcome).toMatchObject({ kind: 'refused', reason: 'unreachable' }),
      5_000,
    );
    expect(home.runs).toEqual(['r-1']);
    expect(link.isUp).toBe(false);
    expect(downs.at(-1)?.reason).toBe('daemon other responds at the address');
  });

  describe('at a home that sends a scripted stream', () => {
    /** Sends the frames once the home has received the first call, which is of stream 1. */
    async function replyWith(...frames: readonly Buffer[]): Promise<CallReply['outcome']> {
      const hello = { record: record('home', 1) };
      const server = createServer((socket) => {
        const reader = new FrameReader();
        socket.on('error', () => undefined);
        socket.on('data', (chunk: Buffer) => {
          reader.push(chunk, ({ kind }) => {
            if (kind === FrameKind.hello)
              socket.write(encodeFrame(FrameKind.hello, 0, JSON.stringify(hello)));
            if (kind === FrameKind.call) for (const frame of frames) socket.write(frame);
          });
        });
      });
      const port = await freePort();
      await new Promise<void>((resolve) => {
        server.listen(port, '127.0.0.1', resolve);
      });
      link.setAddress({ ip: '127.0.0.1', port });
      const replies: CallReply[] = [];
      link.call({ ...CALL, isIdempotent: true }, BODY, (reply) => replies.push(reply));
      await vi.waitFor(() => expect(replies).toHaveLength(1), 5_000);
      server.close();
      expect(entryBudget.usedBytes).toBe(0);
      return replies[0]?.outcome ?? barredOutcome();
    }

    function announce(bodyBytes: unknown): Buffer {
      const head = encodeCallReply(REPLY, 70_000).replace('70000', JSON.stringify(bodyBytes));
      return encodeFrame(FrameKind.reply, 1, head);
    }

    function part(text: string): Buffer {
      return encodeFrame(FrameKind.bodyPart, 1, '', Buffer.from(text));
    }

    it.each([
      ['a body longer than announced', [announce(4), part('abc'), part('de')]],
      [
        'a second reply between the parts of the first',
        [announce(4), part('ab'), announce(2), part('cd')],
      ],
      ['a negative length', [announce(-4), part('abcd')]],
      ['a fraction as length', [announce(4.5), part('abcd')]],
      ['a text as length', [announce('4'), part('abcd')]],
    ])('reports an unknown outcome for %s', async (_name, frames) => {
      expect((await replyWith(...frames)).kind).toBe('unknown');
    });

    it('takes the first of two whole replies', async () => {
      expect(await replyWith(announce(4), part('abcd'), announce(2), part('ef'))).toMatchObject({
        kind: 'answered',
        body: Buffer.from('abcd'),
      });
    });
  });

  it('ignores what follows the hello of another daemon', async () => {
    const replies: CallReply[] = [];
    const server = createServer((socket) => {
      const hello = { record: record('other', 1) };
      const head = encodeCallReply(REPLY);
      socket.write(
        Buffer.concat([
          encodeFrame(FrameKind.hello, 0, JSON.stringify(hello)),
          encodeFrame(FrameKind.reply, 1, head, Buffer.from('of another')),
        ]),
      );
      socket.on('error', () => undefined);
    });
    const port = await freePort();
    await new Promise<void>((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
    link.setAddress({ ip: '127.0.0.1', port });
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(replies).toHaveLength(1), 5_000);
    expect(replies[0]?.outcome.kind).toBe('refused');
    server.close();
  });

  it('reports an unknown outcome when the home cannot be reached to query it', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    proxy.refusesConnections = true;
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies[0]?.outcome.kind).toBe('unknown'), 10_000);
  });

  it('reports an unknown outcome when it is closed before it has queried it', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    proxy.refusesConnections = true;
    proxy.breakConnections();
    await vi.waitFor(() => expect(downs.length).toBeGreaterThan(0), 5_000);
    link.close();
    expect(replies.map(({ outcome }) => outcome.kind)).toEqual(['unknown']);
  });

  it('refuses a call that is made after it was closed, as not run', () => {
    link.close();
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    expect(replies.map(({ outcome }) => outcome.kind)).toEqual(['refused']);
  });

  it('does not query the outcome at another daemon when a hello moves it there', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']), 5_000);
    const other = new HomeStub();
    other.incarnation = 2;
    const otherAddress = { ip: address.host, port: await freePort() };
    await other.server.listen(otherAddress);
    onHello = () => {
      link.setAddress(otherAddress);
      link.connect();
    };
    proxy.breakConnections();
    await vi.waitFor(() => expect(replies).toHaveLength(1), 5_000);
    other.server.close();
    expect(replies[0]?.outcome.kind).toBe('unknown');
    expect(other.executionRecords.size).toBe(0);
    expect(ups).toBe(2);
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

  it('cancels a call whose outcome was queried over a new connection', async () => {
    const call = link.call(CALL, BODY, () => undefined);
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']));
    proxy.breakConnections();
    await vi.waitFor(() => expect(home.lostConnections).toBe(1));
    await vi.waitFor(() => expect(link.isUp).toBe(true));
    // The cancellation follows the query on the same connection.
    call.cancel();
    await vi.waitFor(() => expect(home.cancelled).toBe(1));
  });

  it('closes only the connection whose frame makes a handler throw', async () => {
    const replies: CallReply[] = [];
    link.call(CALL, BODY, (reply) => replies.push(reply));
    await vi.waitFor(() => expect(home.runs).toEqual(['r-1']));
    home.handleControl = () => {
      throw new RangeError('unexpected');
    };
    const socket = createConnection(address);
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(encodeFrame(FrameKind.level, 0, '{}'));
    await closed;
    expect(home.failures).toEqual([`${FrameKind.level}: RangeError: unexpected`]);
    home.finish();
    await vi.waitFor(() => expect(replies).toEqual([REPLY]));
  });

  it('closes the link whose frame makes a handler throw, and opens it anew', async () => {
    await vi.waitFor(() => expect(link.isUp).toBe(true));
    linkFailures.length = 0;
    handleLinkControl = () => {
      throw new RangeError('unexpected');
    };
    for (const peer of home.server.peers) peer.sendControl(FrameKind.level, '{}');
    await vi.waitFor(() => expect(linkFailures).toEqual([FrameKind.level]));
    expect(downs.at(-1)?.reason).toBe('internal error');
    handleLinkControl = () => undefined;
    await vi.waitFor(() => expect(link.isUp).toBe(true));
  });

  it('goes on listening when connections of peers cannot be accepted', () => {
    const { server } = home.server as unknown as {
      server: { emit(name: string, error: Error): void };
    };
    for (let count = 0; count < 3; count += 1) server.emit('error', new Error('accept EMFILE'));
    expect(home.failures).toHaveLength(3);
  });

  it('closes a connection whose hello cannot be read', async () => {
    const socket = createConnection(address);
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    socket.write(encodeFrame(FrameKind.hello, 0, '{"record":'));
    await closed;
  });

  it.each([
    { state: 'whose body arrives', first: encodeFrame(FrameKind.call, 7, encodeCall(CALL, 8)) },
    { state: 'of a running call', first: encodeFrame(FrameKind.call, 7, encodeCall(CALL), BODY) },
  ])('closes a connection that uses the stream $state again', async ({ first }) => {
    const socket = createConnection(address);
    const closed = new Promise((resolve) => {
      socket.on('close', resolve);
    });
    const second = encodeCall({ ...CALL, requestId: 'r-2' });
    socket.write(Buffer.concat([first, encodeFrame(FrameKind.call, 7, second, BODY)]));
    await closed;
    expect(home.runs).not.toContain('r-2');
    expect(home.bufferBudget.usedBytes).toBe(0);
  });

  it('refuses a call that cannot be read, as not run', async () => {
    const frames: string[] = [];
    const reader = new FrameReader();
    const socket = createConnection(address);
    socket.on('data', (chunk: Buffer) => {
      reader.push(chunk, (frame) => frames.push(frame.head));
    });
    socket.write(encodeFrame(FrameKind.call, 7, '["r-1","s",{}]'));
    await vi.waitFor(() => expect(frames).toHaveLength(1));
    expect(decodeCallReply(frames[0] ?? '').withBody(BODY).outcome).toMatchObject({
      kind: 'refused',
      reason: 'unreadable',
      reachedTarget: false,
    });
    expect(home.runs).toEqual([]);
    socket.destroy();
  });

  it('does not take a machine that accepts no connection for an unresponsive network', async () => {
    // Accepts the connection and never replies to the hello, as a lost machine never does.
    const silent = createServer();
    await new Promise<void>((resolve) => {
      silent.listen(0, '127.0.0.1', resolve);
    });
    link.setAddress({ ip: '127.0.0.1', port: (silent.address() as AddressInfo).port });
    link.connect();
    await vi.waitFor(() => expect(downs).toHaveLength(1), 5_000);
    expect(downs[0]).toEqual({ reason: 'connection attempt timed out', wasUnresponsive: false });
    silent.close();
  });

  describe('with large bodies', () => {
    const largeBody = Buffer.alloc(360_000, 'drawing ');

    function largeReply(): CallReply {
      return { ...REPLY, outcome: { ...REPLY.outcome, body: largeBody } as CallReply['outcome'] };
    }

    /** Connects, so that the link knows what its peer accepts. */
    async function connect(): Promise<void> {
      link.connect();
      await vi.waitFor(() => expect(link.isUp).toBe(true));
    }

    /** Checks that the home counts one call: its body once, and its head. */
    function expectOneCallHeld(): void {
      const headBytes = home.bufferBudget.usedBytes - largeBody.length;
      expect(headBytes).toBeGreaterThan(0);
      expect(headBytes).toBeLessThan(MAX_HEAD_BYTES);
    }

    it('passes them on unchanged in both directions and frees their memory', async () => {
      await connect();
      home.reply = largeReply();
      let reply: CallReply | undefined;
      link.call(CALL, largeBody, (received) => {
        reply = received;
      });
      await vi.waitFor(() => expect(home.runs).toEqual(['r-1']));
      expect(home.bodies[0]?.equals(largeBody)).toBe(true);
      expectOneCallHeld();
      home.finish();
      await vi.waitFor(() => expect(reply).toBeDefined());
      expect(reply).toEqual(home.reply);
      expect([home.bufferBudget.usedBytes, entryBudget.usedBytes]).toEqual([0, 0]);
    });

    it('tells until when a reply is not sent whole', async () => {
      await connect();
      home.reply = largeReply();
      let reply: CallReply | undefined;
      link.call(CALL, BODY, (received) => {
        reply = received;
      });
      await vi.waitFor(() => expect(home.runs).toEqual(['r-1']));
      expect(home.server.hasUnsentBytes).toBe(false);
      home.finish();
      expect(home.server.hasUnsentBytes).toBe(true);
      await vi.waitFor(() => expect(home.server.hasUnsentBytes).toBe(false));
      home.server.close();
      await vi.waitFor(() => expect(reply).toEqual(home.reply));
    });

    // Guards against replies that a peer loses, as it still sends to a daemon that ends (LOST).
    it('delivers the replies on the way to a peer that still sends when the home ends', async () => {
      home.reply = {
        ...REPLY,
        outcome: { ...REPLY.outcome, body: Buffer.alloc(60_000) } as CallReply['outcome'],
      };
      const entry = createConnection(address);
      entry.pause();
      const count = 20;
      async function callAndFinish(stream: number): Promise<void> {
        const call = { ...CALL, requestId: `r-${stream}`, attemptKey: `entry/${stream}` };
        entry.write(encodeFrame(FrameKind.call, stream, encodeCall(call), BODY));
        await vi.waitFor(() => expect(home.runs).toHaveLength(stream));
        home.finish();
      }
      for (let stream = 1; stream <= count; stream += 1) await callAndFinish(stream);
      await vi.waitFor(() => expect(home.server.hasUnsentBytes).toBe(false));
      const ended = home.server.end();
      for (let frames = 0; frames < 2; frames += 1) {
        await new Promise((resolve) => {
          setTimeout(resolve, 50);
        });
        entry.write(encodeFrame(FrameKind.ping, 0, ''));
      }
      const reader = new FrameReader();
      const streams: number[] = [];
      for await (const chunk of entry)
        reader.push(chunk as Buffer, ({ kind, stream }) => {
          if (kind === FrameKind.reply) streams.push(stream);
        });
      expect(streams).toHaveLength(count);
      await ended;
    });

    it('sends a small call between the parts of a large body', async () => {
      await connect();
      link.call({ ...CALL, requestId: 'large' }, largeBody, () => undefined);
      link.call({ ...CALL, requestId: 'small' }, BODY, () => undefined);
      await vi.waitFor(() => expect(home.runs).toEqual(['small', 'large']));
    });

    it('refuses a call for whose body the home has no memory, as not run', async () => {
      await connect();
      const body = Buffer.alloc(1_100_000);
      let reply: CallReply | undefined;
      link.call(CALL, body, (received) => {
        reply = received;
      });
      await vi.waitFor(() => expect(reply).toBeDefined());
      expect(reply?.outcome).toMatchObject({
        kind: 'refused',
        reason: 'full',
        reachedTarget: false,
      });
      expect(home.runs).toEqual([]);
      expect(home.bufferBudget.usedBytes).toBe(0);
    });

    it('does not run a call whose connection breaks between its parts', async () => {
      await connect();
      let reply: CallReply | undefined;
      link.call(CALL, largeBody, (received) => {
        reply = received;
      });
      proxy.breakConnections();
      await vi.waitFor(() => expect(reply?.outcome).toEqual(barredOutcome()));
      expect(home.runs).toEqual([]);
      expect(home.bufferBudget.usedBytes).toBe(0);
    });

    it('sends none in parts to a home that was replaced by a build without them', async () => {
      await connect();
      home.acceptsBodyParts = false;
      proxy.breakConnections();
      await vi.waitFor(() => expect(link.isUp).toBe(false));
      let reply: CallReply | undefined;
      link.call(CALL, largeBody, (received) => {
        reply = received;
      });
      await vi.waitFor(() => expect(reply?.outcome).toMatchObject({ kind: 'refused' }));
      expect(home.runs).toEqual([]);
    });

    it('drops the parts of a cancelled call', async () => {
      await connect();
      link.call(CALL, largeBody, () => undefined).cancel();
      link.call({ ...CALL, requestId: 'next' }, largeBody, () => undefined);
      await vi.waitFor(() => expect(home.runs).toEqual(['next']));
      expectOneCallHeld();
    });
  });
});
