import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import { MockAgent } from 'undici';
import { describe, expect, it } from 'vitest';
import { runCommandLine } from '../src/command-line';
import { InputError } from '../src/input-error';
import { readJsonLines, writeJsonLines } from '../src/json-lines';
import { mergeTimelines } from '../src/merge-timelines';
import { sessionEvents } from './session';

const READ_PATH = '/daisyferry.admin.v1.AdministrationService/ReadTimeline';

interface FakeDaemon {
  readonly admin: string;
  /** Answers of the daemon, in turn. */
  readonly answers: readonly { readonly statusCode: number; readonly body: unknown }[];
}

function eventsOf(daemon: string): readonly TimelineEvent[] {
  return sessionEvents().filter((event) => event.daemon === daemon);
}

function page(events: readonly TimelineEvent[], incarnation = 'i', lost: unknown = undefined) {
  return { statusCode: 200, body: { events, incarnation, lost } };
}

class Harness {
  output = '';

  errors = '';

  readonly files = new Map<string, string>();

  readonly requests: unknown[] = [];

  readonly scheduler = new VirtualScheduler();

  readonly stopping = new AbortController();

  private readonly agent = new MockAgent();

  constructor(daemons: readonly FakeDaemon[] = []) {
    this.agent.disableNetConnect();
    for (const { admin, answers } of daemons) {
      for (const { statusCode, body } of answers) {
        const reply = ({ body: asked }: { body?: unknown }) => {
          this.requests.push(JSON.parse(String(asked)));
          return JSON.stringify(body);
        };
        this.agent
          .get(admin)
          .intercept({ path: READ_PATH, method: 'POST' })
          .reply(statusCode, reply);
      }
    }
  }

  async run(...args: string[]): Promise<number> {
    const running = runCommandLine(args, {
      scheduler: this.scheduler,
      variables: {},
      stop: this.stopping.signal,
      readFile: (file) => {
        const text = this.files.get(file);
        if (text === undefined) throw new InputError(`${file}: no such file`);
        return text;
      },
      writeFile: (file, text) => this.files.set(file, text),
      writeOutput: (text) => {
        this.output += text;
      },
      writeError: (text) => {
        this.errors += text;
      },
      connect: () => this.agent,
    });
    return running;
  }
}

const TELLER = 'http://127.0.0.1:7401';
const VAULT = 'http://127.0.0.1:7402';

describe('collect', () => {
  it('merges the events of several daemons into one file', async () => {
    const harness = new Harness([
      { admin: TELLER, answers: [page(eventsOf('teller-1'))] },
      { admin: VAULT, answers: [page(eventsOf('vault-1'))] },
    ]);
    const code = await harness.run('collect', '--admin', TELLER, '--admin', VAULT, '--out', 'f');
    expect(code).toBe(0);
    const both = [...eventsOf('teller-1'), ...eventsOf('vault-1')];
    const read = readJsonLines(harness.files.get('f') ?? '');
    const merged = mergeTimelines(both).map(({ event }) => event);
    expect(read).toEqual({ ok: true, events: merged });
  });

  it('goes on after the last event read, and anew with a new run of the daemon', async () => {
    const events = eventsOf('vault-1');
    const renewed = events.slice(0, 1).map((event) => ({ ...event, incarnation: 'j' }));
    const answers = [
      page(events.slice(0, 2)),
      page(events.slice(2, 3)),
      page([], 'j'),
      page(renewed, 'j'),
    ];
    const harness = new Harness([{ admin: VAULT, answers }]);
    const running = harness.run('collect', '--admin', VAULT, '--for-ms', '2000');
    expect(await harness.scheduler.advanceUntilSettled(running)).toBe(0);
    expect(harness.requests).toMatchObject([
      { afterSequence: 0 },
      { afterSequence: 2 },
      { afterSequence: 3 },
      { afterSequence: 0 },
    ]);
    expect(harness.output.trim().split('\n')).toHaveLength(4);
  });

  it('writes what it has when it is asked to end', async () => {
    const harness = new Harness([{ admin: VAULT, answers: [page(eventsOf('vault-1'))] }]);
    harness.stopping.abort();
    expect(await harness.run('collect', '--admin', VAULT, '--for-ms', '60000')).toBe(0);
    expect(harness.output).toContain('call.handed-over');
  });

  it('reads 64-bit numbers written as texts, and tells what was dropped', async () => {
    const body = {
      events: [{ daemon: 'a', incarnation: 'i', sequence: '5', wallMs: 7, kind: 'daemon.state' }],
      incarnation: 'i',
      lost: '4',
    };
    const harness = new Harness([{ admin: VAULT, answers: [{ statusCode: 200, body }] }]);
    expect(await harness.run('collect', '--admin', VAULT)).toBe(0);
    expect(JSON.parse(harness.output)).toMatchObject({ sequence: 5, wallMs: 7 });
    expect(harness.errors).toContain('4 events were dropped');
  });

  it.each([
    { title: 'an error status', answer: { statusCode: 403, body: {} }, text: 'status 403' },
    { title: 'no answer of the API', answer: { statusCode: 200, body: [] }, text: 'expected' },
    {
      title: 'a bad event',
      answer: page([{ kind: 'x' } as unknown as TimelineEvent]),
      text: 'expected',
    },
  ])('reports a daemon that gives $title, and fails when all do', async ({ answer, text }) => {
    const failing = { admin: VAULT, answers: [answer] };
    const alone = new Harness([failing]);
    expect(await alone.run('collect', '--admin', VAULT)).toBe(5);
    expect(alone.errors).toContain(`${VAULT}: `);
    expect(alone.errors).toContain(text);
    const other = { admin: TELLER, answers: [page(eventsOf('teller-1'))] };
    const together = new Harness([failing, other]);
    expect(await together.run('collect', '--admin', VAULT, '--admin', TELLER)).toBe(0);
    expect(together.output).toContain('call.sent');
  });

  it('stops at the greatest number of events', async () => {
    const harness = new Harness([{ admin: VAULT, answers: [page(eventsOf('vault-1'))] }]);
    const args = ['collect', '--admin', VAULT, '--max-events', '2', '--for-ms', '60000'];
    expect(await harness.run(...args)).toBe(0);
    expect(harness.output.trim().split('\n')).toHaveLength(2);
  });
});

describe('show', () => {
  it('shows one root from several files', async () => {
    const harness = new Harness();
    harness.files.set('a', writeJsonLines(mergeTimelines(eventsOf('vault-1'))));
    harness.files.set('b', writeJsonLines(mergeTimelines(eventsOf('pricing-1'))));
    expect(await harness.run('show', 'a', 'b', '--root', 'root-payout')).toBe(0);
    expect(harness.output).toContain('call.refused');
    expect(harness.output).not.toContain('target.state');
  });

  it('says so when nothing is selected', async () => {
    const harness = new Harness();
    harness.files.set('a', writeJsonLines(mergeTimelines(sessionEvents())));
    expect(await harness.run('show', 'a', '--to', '1999-01-01')).toBe(0);
    expect(harness.output).toBe('no events\n');
  });
});

describe('wrong input', () => {
  it.each([
    { args: [], text: 'a command is needed' },
    { args: ['collect', '--admin', 'nowhere'], text: "--admin: found 'nowhere'" },
    { args: ['collect', '--interval-ms', '0'], text: '--interval-ms: found 0' },
    { args: ['collect', '--other'], text: 'Unknown argument' },
    { args: ['show', 'missing'], text: 'missing: no such file' },
    { args: ['show', 'broken'], text: 'broken: line 1' },
    { args: ['show', 'broken', '--from', 'noon'], text: "--from: found 'noon'" },
  ])('$args is refused', async ({ args, text }) => {
    const harness = new Harness();
    harness.files.set('broken', 'no JSON');
    expect(await harness.run(...args)).toBe(2);
    expect(harness.errors).toContain(text);
  });

  it('shows help', async () => {
    const harness = new Harness();
    expect(await harness.run('--help')).toBe(0);
    expect(harness.output).toContain('collect');
  });
});
