import { describe, expect, it } from 'vitest';
import { Caller, type CallerPort } from '../src/caller';
import { dorado } from '../src/dorado';
import type { ExchangeRequest, ExchangeResult } from '../src/exchange';
import { seededRandom } from '../src/random';
import type { AttemptResult } from '../src/records';

type Step = readonly [result: AttemptResult, reason?: string, ticket?: string];

/** Answers a caller from a script, in virtual time. */
class ScriptedPort implements CallerPort {
  readonly sent: ExchangeRequest[] = [];

  readonly random = seededRandom(1);

  private timeMs = 0;

  constructor(private readonly script: readonly Step[]) {}

  nowMs(): number {
    return this.timeMs;
  }

  async sleep(timeMs: number): Promise<void> {
    this.timeMs += timeMs;
    return Promise.resolve();
  }

  async send(exchange: ExchangeRequest): Promise<ExchangeResult> {
    const [result, reason = '', ticket] = this.script[this.sent.length] ?? ['lost'];
    this.sent.push(exchange);
    this.timeMs += result === 'gave-up' ? exchange.patienceMs : 10;
    return Promise.resolve({ result, reason, ticket, retryAfterMs: 0 });
  }

  entryUrl(): string {
    return 'http://127.0.0.1:1';
  }
}

function kindOf(name: string) {
  return dorado.requests.find((kind) => kind.name === name) ?? expect.fail();
}

async function play(kind: string, script: readonly Step[]) {
  const port = new ScriptedPort(script);
  const record = await new Caller('r', kindOf(kind), 0, port).run();
  const sent = port.sent.map(({ callKey, ticket }) => `${callKey} ${ticket ?? '-'}`);
  return { record, sent };
}

const TICKETED: Step = ['not-run', 'ticket-required', 'T1'];

describe('Caller with money', () => {
  it.each<{ what: string; script: readonly Step[]; sent: readonly string[]; completed: boolean }>([
    {
      what: 'takes a ticket first',
      script: [TICKETED, ['completed']],
      sent: ['r/0 -', 'r/1 T1'],
      completed: true,
    },
    {
      what: 'repeats the same ticket after a lost connection',
      script: [TICKETED, ['lost'], ['unknown', 'home-unreachable'], ['completed']],
      sent: ['r/0 -', 'r/1 T1', 'r/1 T1', 'r/1 T1'],
      completed: true,
    },
    {
      what: 'takes a new ticket after a refusal',
      script: [TICKETED, ['not-run', 'shed', 'T2'], ['completed']],
      sent: ['r/0 -', 'r/1 T1', 'r/2 T2'],
      completed: true,
    },
    {
      what: 'stops at an outcome that stays unknown',
      script: [TICKETED, ['unknown', 'other-incarnation']],
      sent: ['r/0 -', 'r/1 T1'],
      completed: false,
    },
    {
      what: 'stops when the target failed, for the call ran',
      script: [TICKETED, ['failed']],
      sent: ['r/0 -', 'r/1 T1'],
      completed: false,
    },
  ])('$what', async ({ script, sent, completed }) => {
    const played = await play('payout', script);
    expect(played.sent).toEqual(sent);
    expect(played.record.completed).toBe(completed);
  });
});

describe('Caller with a rate check', () => {
  it('gives up and comes back until its patience ends', async () => {
    const { record } = await play('rate-check', Array<Step>(10).fill(['gave-up']));
    expect(record.completed).toBe(false);
    expect(record.endedMs).toBeLessThanOrEqual(6_000);
    expect(record.attempts.length).toBeGreaterThan(1);
    expect(new Set(record.attempts.map(({ callKey }) => callKey)).size).toBe(
      record.attempts.length,
    );
  });

  it('stops after its last attempt', async () => {
    const { record } = await play('rate-check', Array<Step>(10).fill(['not-run', 'shed']));
    expect(record.attempts).toHaveLength(4);
  });
});
