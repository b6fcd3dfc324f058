import type { TimelineEvent } from '@daisyferry/model/timeline-event';
import type { Dispatcher } from 'undici';
import { readTimelineResponseSchema, type ReadTimelineResponse } from './timeline-schemas';

export type TimelineReadResult =
  | {
      readonly ok: true;
      readonly events: readonly TimelineEvent[];
      /** Events that the daemon dropped before they were read. */
      readonly lost: number;
    }
  | { readonly ok: false; readonly problem: string };

export interface TimelineReaderOptions {
  /** Origin of the daemon's administration listener. */
  readonly admin: string;
  readonly dispatcher: Dispatcher;
  readonly timeoutMs: number;
}

type PageResult =
  | { readonly ok: true; readonly response: ReadTimelineResponse }
  | { readonly ok: false; readonly problem: string };

const READ_PATH = '/daisyferry.admin.v1.AdministrationService/ReadTimeline';
const PAGE_EVENTS = 1_000;
const MAX_PAGES_PER_READ = 100;
const OK_STATUS = 200;

/** Reads each event of one daemon once; starts over when the daemon has a new incarnation. */
export class TimelineReader {
  private afterSequence = 0;

  private incarnation: string | undefined;

  constructor(private readonly options: TimelineReaderOptions) {}

  get admin(): string {
    return this.options.admin;
  }

  /** Reads all events since the last read. */
  async read(): Promise<TimelineReadResult> {
    const events: TimelineEvent[] = [];
    let lost = 0;
    for (let page = 0; page < MAX_PAGES_PER_READ; page += 1) {
      const result = await this.readPage();
      if (!result.ok) return events.length > 0 ? { ok: true, events, lost } : result;
      const { response } = result;
      if (this.resetOnNewIncarnation(response.incarnation)) continue;
      lost += response.lost;
      events.push(...response.events);
      this.afterSequence = response.events.at(-1)?.sequence ?? this.afterSequence;
      if (response.events.length < PAGE_EVENTS) break;
    }
    return { ok: true, events, lost };
  }

  /** Returns true if the incarnation changed, so that reading must start over. */
  private resetOnNewIncarnation(incarnation: string): boolean {
    const changed = this.incarnation !== undefined && this.incarnation !== incarnation;
    this.incarnation = incarnation;
    if (changed) this.afterSequence = 0;
    return changed;
  }

  private async readPage(): Promise<PageResult> {
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
      const parsed = readTimelineResponseSchema.safeParse(document);
      if (!parsed.success) return { ok: false, problem: parsed.error.issues[0]?.message ?? '' };
      return { ok: true, response: parsed.data };
    } catch (error) {
      return { ok: false, problem: error instanceof Error ? error.message : String(error) };
    }
  }
}
