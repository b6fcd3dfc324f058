import { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import { MockAgent } from 'undici';
import { describe, expect, it } from 'vitest';
import { runTimelineCli } from '../src/command-line';
import { readJsonLines, writeJsonLines } from '../src/json-lines';
import { mergeTimelines } from '../src/merge-timelines';
import { TimelineInputError } from '../src/timeline-input-error';
import { payoutTimelineEvents } from './payout-timeline';

const READ_PATH = '/daisyferry.admin.v1.AdministrationService/ReadTimeline';

interface FakeDaemon {
  readonly admin: string;
  /** Responses of the daemon, in order. */
  readonly responses: readonly { readonly statusCode: number; readonly body: unknown }[];
}

function eventsOf(daemon: string): readonly TimelineEvent[] {
  return payoutTimelineEvents().filter((event) => event.daemon === daemon);
}

function pageResponse(
  events: readonly TimelineEvent[],
  incarnation = 'i',
  lost: unknown = undefined,
) {
  return { statusCode: 200, body: { events, incarnation, lost } };
}

class CommandHarness {
  output = '';

  errors = '';

  readonly files = new Map<string, string>();

  readonly requests: unknown[] = [];

  readonly scheduler = new VirtualScheduler();

  readonly stopController = new AbortController();

  private readonly agent = new MockAgent();

  constructor(daemons: readonly FakeDaemon[] = []) {
    this.agent.disableNetConnect();
    for (const { admin, responses } of daemons) {
      for (const { statusCode, body } of responses) {
        const respond = ({ body: requestBody }: { body?: unknown }) => {
          this.requests.push(JSON.parse(String(requestBody)));
          return JSON.stringify(body);
        };
        this.agent
          .get(admin)
          .intercept({ path: READ_PATH, method: 'POST' })
          .reply(statusCode, respond);
      }
    }
  }

  async run(...args: string[]): Promise<number> {
    const running = runTimelineCli(args, {
      scheduler: this.scheduler,
      variables: {},
      stopSignal: this.stopController.signal,
      readFile: (file) => {
        const text = this.files.get(file);
        if (text === undefined) throw new TimelineInputError(`${file}: no such file`);
        return text;
      },
      writeFile: (file, text) => this.files.set(file, text),
      writeOutput: (text) => {
        this.output += text;
      },
      writeError: (text) => {
        this.errors += text;
      },
      createDispatcher: () => this.agent,
    });
    return running;
  }
}

const TELLER = 'http://127.0.0.1:7401';
const VAULT = 'http://127.0.0.1:7402';

describe('collect', () => {
  it('merges the events of several daemons into one file', async () => {
    const harness = new CommandHarness([
      { admin: TELLER, responses: [pageResponse(eventsOf('teller-1'))] },
      { admin: VAULT, responses: [pageResponse(eventsOf('vault-1'))] },
    ]);
    const code = await harness.run('collect', '--admin', TELLER, '--admin', VAULT, '--out', 'f');
    expect(code).toBe(0);
    const allEvents = [...eventsOf('teller-1'), ...eventsOf('vault-1')];
    const read = readJsonLines(harness.files.get('f') ?? '');
    const merged = mergeTimelines(allEvents).map(({ event }) => event);
    expect(read).toEqual({ ok: true, events: merged });
  });

  it('continues after the last event read, and starts over with a new incarnation of the daemon', async () => {
    const events = eventsOf('vault-1');
    const restartedEvents = events.slice(0, 1).map((event) => ({ ...event, incarnation: 'j' }));
    const responses = [
      pageResponse(events.slice(0, 2)),
      pageResponse(events.slice(2, 3)),
      pageResponse([], 'j'),
      pageResponse(restartedEvents, 'j'),
    ];
    const harness = new CommandHarness([{ admin: VAULT, responses }]);
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

  it('writes the events collected so far when it is stopped', async () => {
    const harness = new CommandHarness([
      { admin: VAULT, responses: [pageResponse(eventsOf('vault-1'))] },
    ]);
    harness.stopController.abort();
    expect(await harness.run('collect', '--admin', VAULT, '--for-ms', '60000')).toBe(0);
    expect(harness.output).toContain('call.handed-over');
  });

  it('reads 64-bit numbers encoded as strings and reports dropped events', async () => {
    const body = {
      events: [{ daemon: 'a', incarnation: 'i', sequence: '5', wallMs: 7, kind: 'daemon.state' }],
      incarnation: 'i',
      lost: '4',
    };
    const harness = new CommandHarness([{ admin: VAULT, responses: [{ statusCode: 200, body }] }]);
    expect(await harness.run('collect', '--admin', VAULT)).toBe(0);
    expect(JSON.parse(harness.output)).toMatchObject({ sequence: 5, wallMs: 7 });
    expect(harness.errors).toContain('4 events were dropped');
  });

  it.each([
    { title: 'an error status', response: { statusCode: 403, body: {} }, text: 'status 403' },
    { title: 'an invalid response', response: { statusCode: 200, body: [] }, text: 'expected' },
    {
      title: 'an invalid event',
      response: pageResponse([{ kind: 'x' } as unknown as TimelineEvent]),
      text: 'expected',
    },
  ])(
    'reports a daemon that returns $title, and fails if all daemons do',
    async ({ response, text }) => {
      const failing = { admin: VAULT, responses: [response] };
      const alone = new CommandHarness([failing]);
      expect(await alone.run('collect', '--admin', VAULT)).toBe(5);
      expect(alone.errors).toContain(`${VAULT}: `);
      expect(alone.errors).toContain(text);
      const other = { admin: TELLER, responses: [pageResponse(eventsOf('teller-1'))] };
      const together = new CommandHarness([failing, other]);
      expect(await together.run('collect', '--admin', VAULT, '--admin', TELLER)).toBe(0);
      expect(together.output).toContain('call.sent');
    },
  );

  it('stops at the maximum number of events', async () => {
    const harness = new CommandHarness([
      { admin: VAULT, responses: [pageResponse(eventsOf('vault-1'))] },
    ]);
    const args = ['collect', '--admin', VAULT, '--max-events', '2', '--for-ms', '60000'];
    expect(await harness.run(...args)).toBe(0);
    expect(harness.output.trim().split('\n')).toHaveLength(2);
  });
});

describe('show', () => {
  it('shows the events of one root request from several files', async () => {
    const harness = new CommandHarness();
    harness.files.set('a', writeJsonLines(mergeTimelines(eventsOf('vault-1'))));
    harness.files.set('b', writeJsonLines(mergeTimelines(eventsOf('pricing-1'))));
    expect(await harness.run('show', 'a', 'b', '--root', 'root-payout')).toBe(0);
    expect(harness.output).toContain('call.refused');
    expect(harness.output).not.toContain('target.state');
  });

  it('reports that no events are selected', async () => {
    const harness = new CommandHarness();
    harness.files.set('a', writeJsonLines(mergeTimelines(payoutTimelineEvents())));
    expect(await harness.run('show', 'a', '--to', '1999-01-01')).toBe(0);
    expect(harness.output).toBe('no events\n');
  });
});

describe('invalid input', () => {
  it.each([
    { args: [], text: 'a command is needed' },
    { args: ['collect', '--admin', 'nowhere'], text: "--admin: found 'nowhere'" },
    { args: ['collect', '--interval-ms', '0'], text: '--interval-ms: found 0' },
    { args: ['collect', '--other'], text: 'Unknown argument' },
    { args: ['show', 'missing'], text: 'missing: no such file' },
    { args: ['show', 'broken'], text: 'broken: line 1' },
    { args: ['show', 'broken', '--from', 'noon'], text: "--from: found 'noon'" },
  ])('rejects $args', async ({ args, text }) => {
    const harness = new CommandHarness();
    harness.files.set('broken', 'no JSON');
    expect(await harness.run(...args)).toBe(2);
    expect(harness.errors).toContain(text);
  });

  it('shows help', async () => {
    const harness = new CommandHarness();
    expect(await harness.run('--help')).toBe(0);
    expect(harness.output).toContain('collect');
  });
});
