import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import type { Dispatcher } from 'undici';
import { timelineAnswerSchema, type TimelineAnswer } from './timeline-document';

export type ReadResult =
  | {
      readonly ok: true;
      readonly events: readonly TimelineEvent[];
      /** Events that the daemon dropped before they were read. */
      readonly lost: number;
    }
  | { readonly ok: false; readonly problem: string };

export interface ReaderOptions {
  /** Origin of the daemon's administration listener. */
  readonly admin: string;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs: number;
}

type AnswerResult =
  | { readonly ok: true; readonly answer: TimelineAnswer }
  | { readonly ok: false; readonly problem: string };

const READ_PATH = '/daisyferry.admin.v1.AdministrationService/ReadTimeline';
const PAGE_EVENTS = 1_000;
const MAX_PAGES_A_READ = 100;
const OK_STATUS = 200;

/** Reads the events of one daemon, each once; starts anew with a new run of the daemon. */
export class TimelineReader {
  private afterSequence = 0;

  private incarnation: string | undefined;

  constructor(private readonly options: ReaderOptions) {}

  get admin(): string {
    return this.options.admin;
  }

  /** Reads everything that is new. */
  async read(): Promise<ReadResult> {
    const events: TimelineEvent[] = [];
    let lost = 0;
    for (let page = 0; page < MAX_PAGES_A_READ; page += 1) {
      const result = await this.readPage();
      if (!result.ok) return events.length > 0 ? { ok: true, events, lost } : result;
      const { answer } = result;
      if (this.isNewRun(answer.incarnation)) continue;
      lost += answer.lost;
      events.push(...answer.events);
      this.afterSequence = answer.events.at(-1)?.sequence ?? this.afterSequence;
      if (answer.events.length < PAGE_EVENTS) break;
    }
    return { ok: true, events, lost };
  }

  /** True when the page must be read again, from the start of the daemon's new run. */
  private isNewRun(incarnation: string): boolean {
    const changed = this.incarnation !== undefined && this.incarnation !== incarnation;
    this.incarnation = incarnation;
    if (changed) this.afterSequence = 0;
    return changed;
  }

  private async readPage(): Promise<AnswerResult> {
    const { admin, dispatcher, timeoutMs } = this.options;
    try {
      const { statusCode, body } = await dispatcher.request({
        origin: admin,
        path: READ_PATH,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ afterSequence: this.afterSequence, limit: PAGE_EVENTS }),
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      const document: unknown = await body.json();
      if (statusCode !== OK_STATUS) return { ok: false, problem: `status ${statusCode}` };
      const parsed = timelineAnswerSchema.safeParse(document);
      if (!parsed.success) return { ok: false, problem: parsed.error.issues[0]?.message ?? '' };
      return { ok: true, answer: parsed.data };
    } catch (error) {
      return { ok: false, problem: error instanceof Error ? error.message : String(error) };
    }
  }
}
