import { describe, expect, it } from 'vitest';
import { Caller, type CallerEnvironment } from '../src/caller';
import { dorado } from '../src/dorado-deployment';
import type { CallerHttpRequest, CallerHttpResult } from '../src/send-caller-request';
import { seededRandom } from '../src/random';
import type { AttemptEnd } from '../src/records';

type ScriptedAttempt = readonly [result: AttemptEnd, reason?: string, ticket?: string];

/** Responds to a caller with scripted results, in virtual time. */
class ScriptedEnvironment implements CallerEnvironment {
  readonly sent: CallerHttpRequest[] = [];

  readonly random = seededRandom(1);

  private timeMs = 0;

  constructor(private readonly script: readonly ScriptedAttempt[]) {}

  nowMs(): number {
    return this.timeMs;
  }

  async sleep(timeMs: number): Promise<void> {
    this.timeMs += timeMs;
    return Promise.resolve();
  }

  async send(callerRequest: CallerHttpRequest): Promise<CallerHttpResult> {
    const [result, reason = '', ticket] = this.script[this.sent.length] ?? ['lost'];
    this.sent.push(callerRequest);
    this.timeMs += result === 'gave-up' ? callerRequest.patienceMs : 10;
    return Promise.resolve({ result, reason, ticket, retryAfterMs: 0 });
  }

  entryUrl(): string {
    return 'http://127.0.0.1:1';
  }
}

function kindOf(name: string) {
  return dorado.requests.find((kind) => kind.name === name) ?? expect.fail();
}

async function runScript(kind: string, script: readonly ScriptedAttempt[]) {
  const environment = new ScriptedEnvironment(script);
  const record = await new Caller('r', kindOf(kind), 0, environment).sendWithRetries();
  const sent = environment.sent.map(({ callKey, ticket }) => `${callKey} ${ticket ?? '-'}`);
  return { record, sent };
}

const TICKET_OFFERED: ScriptedAttempt = ['not-run', 'ticket-required', 'T1'];

describe('Caller of a money request', () => {
  it.each<{
    what: string;
    script: readonly ScriptedAttempt[];
    sent: readonly string[];
    completed: boolean;
  }>([
    {
      what: 'requests a ticket first',
      script: [TICKET_OFFERED, ['completed']],
      sent: ['r/0 -', 'r/1 T1'],
      completed: true,
    },
    {
      what: 'retries with the same ticket after a lost connection',
      script: [TICKET_OFFERED, ['lost'], ['unknown', 'home-unreachable'], ['completed']],
      sent: ['r/0 -', 'r/1 T1', 'r/1 T1', 'r/1 T1'],
      completed: true,
    },
    {
      what: 'uses a new ticket after a rejection',
      script: [TICKET_OFFERED, ['not-run', 'shed', 'T2'], ['completed']],
      sent: ['r/0 -', 'r/1 T1', 'r/2 T2'],
      completed: true,
    },
    {
      what: 'stops if the outcome cannot become known',
      script: [TICKET_OFFERED, ['unknown', 'other-incarnation']],
      sent: ['r/0 -', 'r/1 T1'],
      completed: false,
    },
    {
      what: 'stops if the target failed, because the call ran',
      script: [TICKET_OFFERED, ['failed']],
      sent: ['r/0 -', 'r/1 T1'],
      completed: false,
    },
  ])('$what', async ({ script, sent, completed }) => {
    const result = await runScript('payout', script);
    expect(result.sent).toEqual(sent);
    expect(result.record.completed).toBe(completed);
  });
});

describe('Caller of a rate check', () => {
  it('times out and retries until its total patience ends', async () => {
    const { record } = await runScript('rate-check', Array<ScriptedAttempt>(10).fill(['gave-up']));
    expect(record.completed).toBe(false);
    expect(record.endedMs).toBeLessThanOrEqual(6_000);
    expect(record.attempts.length).toBeGreaterThan(1);
    expect(new Set(record.attempts.map(({ callKey }) => callKey)).size).toBe(
      record.attempts.length,
    );
  });

  it('stops after the maximum number of attempts', async () => {
    const { record } = await runScript(
      'rate-check',
      Array<ScriptedAttempt>(10).fill(['not-run', 'shed']),
    );
    expect(record.attempts).toHaveLength(4);
  });
});
