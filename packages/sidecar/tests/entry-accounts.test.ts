import type { ClientAccount } from '@daisyferry/mesh/client-account';
import {
  CallRefusalReason,
  type CallReply,
  type ForwardedCall,
} from '@daisyferry/mesh/forwarded-call';
import { RouteTable } from '@daisyferry/mesh/route-table';
import type { Route } from '@daisyferry/mesh/routing-configuration';
import type { ResponseParts } from '@daisyferry/http1/message-writer';
import { CallerIdentification } from '@daisyferry/sidecar/caller-identification';
import type { EventLog } from '@daisyferry/sidecar/event-log';
import type { HeaderNames } from '@daisyferry/sidecar/header-names';
import { SidecarMetrics } from '@daisyferry/sidecar/sidecar-metrics';
import { Entry } from '@daisyferry/sidecar/entry';
import { describe, expect, it } from 'vitest';
import { buildEntryParts } from './support/entry-parts';

const HEADERS = {
  requestId: 'Id',
  deadline: 'Deadline',
  expectedTarget: 'Target',
  callerService: 'Caller',
  authorization: 'Authorization',
  account: 'Account',
} as HeaderNames;
const KEYED: Route = {
  name: 'keyed',
  host: 'shop.example',
  prefix: '/read/',
  isIdempotent: true,
  destinations: [{ service: 's', weight: 1 }],
  timeoutMs: 1_000,
  targetLatencyMs: 300,
  maxTargets: 2,
  priority: 2,
  isPublic: false,
};
const PUBLIC: Route = { ...KEYED, name: 'public', prefix: '/tile/', isPublic: true, priority: 1 };
const NORTH: ClientAccount = {
  name: 'north',
  keys: ['k-north'],
  priority: 3,
  ratePerS: undefined,
  burst: 0,
};
const SERVED: CallReply = {
  outcome: {
    kind: 'answered',
    status: 200,
    reason: 'OK',
    fields: [],
    body: Buffer.alloc(0),
    endsWithConnection: false,
  },
  load: undefined,
};
const DEADLINE_MS = 600;

/** An entry whose configuration a test replaces, and what it sent, logged and answered. */
class TestEntry {
  accounts: readonly ClientAccount[] = [NORTH];

  isProven = true;

  awaitsFirstProof = false;

  readonly calls: ForwardedCall[] = [];

  readonly logged: string[] = [];

  readonly metrics = new SidecarMetrics();

  /** Delivers the replies to the calls, in order; the last one is repeated. */
  replies: ((deliver: (reply: CallReply) => void) => void)[] = [(deliver) => deliver(SERVED)];

  private table: RouteTable | undefined;

  private readonly entry: Entry;

  constructor() {
    const log = {
      decision: (message: string, fields: unknown) =>
        this.logged.push(`${message} ${JSON.stringify(fields)}`),
    } as unknown as EventLog;
    const random = () => 0.5;
    const bounds = { retryRatio: 1, retrySlack: 100 };
    const parts = buildEntryParts(
      ['d1', 'd2'],
      { bounds, random: random() },
      {
        routes: () => this.table,
        transport: {
          send: (_daemonId, call, _body, deliver) => {
            this.calls.push(call);
            (this.replies.length > 1 ? this.replies.shift() : this.replies[0])?.(deliver);
            return { cancel: () => undefined };
          },
        },
        headerNames: HEADERS,
        log,
        metrics: this.metrics,
      },
    );
    this.entry = new Entry(
      parts,
      new CallerIdentification({
        freshness: {
          isProven: () => this.isProven,
          awaitsFirstProof: () => this.awaitsFirstProof,
          ageMs: () => 6_000,
        },
        headerNames: HEADERS,
        random,
        log,
        metrics: this.metrics,
      }),
    );
    this.configure(this.accounts);
  }

  configure(accounts: readonly ClientAccount[], version = 1): void {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const routes = [KEYED, PUBLIC];
    this.table = new RouteTable({ version, routes, services: [], limits, accounts, problems: [] });
  }

  /** Sends a request; returns the responses so far. */
  request(target: string, fields: readonly string[]): ResponseParts[] {
    const responses: ResponseParts[] = [];
    const head = {
      method: 'GET',
      target,
      fields: ['Id', 'request', 'Deadline', String(DEADLINE_MS), ...fields],
      host: 'shop.example',
      isPersistent: true,
      expectsContinue: false,
    };
    this.entry.handle({ head, body: Buffer.alloc(0) }, (response) => responses.push(response), 0);
    return responses;
  }
}

function fieldOf(response: ResponseParts | undefined, name: string): string | undefined {
  const index = response?.fields.indexOf(name) ?? -1;
  return index < 0 ? undefined : response?.fields[index + 1];
}

describe('an entry of a configuration with client accounts', () => {
  it('passes on the name of the account, and neither its key nor what the caller claims', () => {
    const entry = new TestEntry();
    const fields = ['authorization', 'Bearer k-north', 'ACCOUNT', 'south', 'Other', 'kept'];
    const [response] = entry.request('/read/a', fields);
    expect(response?.status).toBe(200);
    expect(entry.calls).toHaveLength(1);
    const [call] = entry.calls;
    expect(call?.account).toBe('north');
    expect(call?.fields).toEqual(['Id', 'request', 'Other', 'kept']);
    expect(JSON.stringify(call)).not.toContain('k-north');
    // The priority of the account goes before that of the route.
    expect(call?.priority).toBe(3_002);
  });

  it.each([
    ['missingKey', []],
    ['unknownKey', ['Authorization', 'Bearer k-west']],
    ['malformedKey', ['Authorization', 'bearer k-north']],
    ['repeatedKey', ['Authorization', 'Bearer k-north', 'authorization', 'Bearer k-north']],
  ])('answers 401 for %s and sends nothing', (problem, fields) => {
    const entry = new TestEntry();
    const [response] = entry.request('/read/a', fields);
    expect(response?.status).toBe(401);
    expect(fieldOf(response, 'WWW-Authenticate')).toBe('Bearer');
    expect(entry.calls).toEqual([]);
    expect(entry.logged.join('')).toContain(`"detail":"${problem}"`);
    expect(entry.logged.join('')).not.toMatch(/k-north|k-west/);
    expect(entry.metrics.render()).toContain(`unidentified_total{cause="${problem}"} 1`);
  });

  it('runs the call of a target on a public route, and drops what it claims to be', () => {
    const entry = new TestEntry();
    const [response] = entry.request('/tile/a', ['Account', 'south', 'Authorization', 'Bearer x']);
    expect(response?.status).toBe(200);
    expect(entry.calls[0]?.account).toBeUndefined();
    expect(entry.calls[0]?.fields).toEqual(['Id', 'request']);
  });

  it('refuses requests with keys truthfully while its configuration is too old', () => {
    const entry = new TestEntry();
    entry.isProven = false;
    const [response] = entry.request('/read/a', ['Authorization', 'Bearer k-north']);
    expect(response?.status).toBe(503);
    const retryAfterMs = Number(fieldOf(response, 'Retry-After')) * 1_000;
    expect(retryAfterMs).toBeGreaterThan(0);
    // Callers honor no more than a third of their time.
    expect(retryAfterMs).toBeLessThanOrEqual(DEADLINE_MS / 3);
    expect(entry.calls).toEqual([]);
    expect(entry.logged.join('')).toContain('"ageMs":6000');
    expect(entry.request('/tile/a', [])[0]?.status).toBe(200);
  });

  it('refuses a key that the next configuration takes away, and knows the new owner', () => {
    const entry = new TestEntry();
    const fields = ['Authorization', 'Bearer k-north'];
    expect(entry.request('/read/a', fields)[0]?.status).toBe(200);
    entry.configure([{ ...NORTH, keys: [] }], 2);
    expect(entry.request('/read/a', fields)[0]?.status).toBe(401);
    entry.configure([{ ...NORTH, name: 'south' }], 3);
    expect(entry.request('/read/a', fields)[0]?.status).toBe(200);
    expect(entry.calls.map(({ account }) => account)).toEqual(['north', 'south']);
  });

  it('finishes a request that was admitted before its key was withdrawn, also at a second target', () => {
    const entry = new TestEntry();
    let refuse: () => void = () => undefined;
    const outcome = {
      kind: 'refused',
      reason: CallRefusalReason.shedByTarget,
      reachedTarget: true,
      roomInMs: 0,
    } as const;
    entry.replies = [
      (deliver) => {
        refuse = () => deliver({ outcome, load: undefined });
      },
      (deliver) => deliver(SERVED),
    ];
    const responses = entry.request('/read/a', ['Authorization', 'Bearer k-north']);
    entry.configure([{ ...NORTH, keys: [] }], 2);
    entry.isProven = false;
    refuse();
    expect(responses.map(({ status }) => status)).toEqual([200]);
    expect(entry.calls.map(({ account }) => account)).toEqual(['north', 'north']);
  });
});

describe('an entry of a configuration without client accounts', () => {
  it('passes nothing on until it is proven that there are no accounts by now', () => {
    const entry = new TestEntry();
    entry.configure([]);
    entry.awaitsFirstProof = true;
    const statuses = ['/read/a', '/tile/a'].map((path) => entry.request(path, [])[0]?.status);
    expect([statuses, entry.calls]).toEqual([[503, 503], []]);
  });

  it('passes on credentials and account fields as any other', () => {
    const entry = new TestEntry();
    entry.configure([]);
    entry.isProven = false;
    const fields = ['Authorization', 'Bearer k-north', 'Account', 'south'];
    expect(entry.request('/read/a', fields)[0]?.status).toBe(200);
    expect(entry.calls[0]?.fields).toEqual(['Id', 'request', ...fields]);
    expect(entry.calls[0]).toMatchObject({ account: undefined, priority: KEYED.priority });
  });
});
