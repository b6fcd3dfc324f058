import { Cancellation } from '@daisyferry/callpath/cancellation';
import type { EntryResponse, EntryRequest } from '@daisyferry/callpath/entry-call';
import type { EntryDaemon } from './entry-daemon';
import { DEADLINE_MS, SERVICE } from './fake-policies';
import type { World } from './world';

/** What a caller was told by one try, or how it ended for it without an answer. */
export interface Told {
  readonly outcome: 'completed' | 'failed' | 'not-run' | 'unknown' | 'lost' | 'left';
  readonly reason: string;
  readonly rootId: string;
  /** The ticket sent with the try. */
  readonly sentTicket: string | undefined;
  readonly nextTicket: string | undefined;
  /** Time after which a refused caller may come back. */
  readonly retryAfterMs: number;
  readonly body: string;
}

export type CallKind = 'money' | 'idempotent';

const HOP_MS = 1;
const BETWEEN_TRIES_MS = 300;
const TIMEOUT_MS = DEADLINE_MS + 500;
const MAX_TRIES = 6;
/** Time after which a caller tries again, by what it was told. */
const WAIT_MS: Readonly<Record<Told['outcome'], number>> = {
  completed: 0,
  failed: 0,
  'not-run': HOP_MS,
  unknown: BETWEEN_TRIES_MS,
  lost: BETWEEN_TRIES_MS,
  left: 2_500,
};

/** A caller that keeps to the rules for callers: a repeat of an unknown call keeps its ticket. */
export class FakeCaller {
  readonly told: Told[] = [];

  /** Called when a ticket has come that the caller is about to use for the first time. */
  onTicket: () => void = () => undefined;

  /** Called when the whole answer has come. */
  onAnswer: () => void = () => undefined;

  private leaveNow: () => void = () => undefined;

  constructor(
    private readonly world: World,
    readonly kind: CallKind,
    private readonly name = 'caller',
  ) {}

  /** Closes the connection of the try in progress. */
  leave(): void {
    this.leaveNow();
  }

  /** Tries until the call has an outcome; `repeats` repeats the ticket of a completed call once. */
  async run(repeats: boolean): Promise<void> {
    let ticket: string | undefined;
    let sawTicket = false;
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const told = await this.tryOnce(ticket);
      this.record(told);
      if (told.outcome === 'completed' || told.outcome === 'failed') break;
      if (this.kind === 'idempotent' && told.outcome === 'left') break;
      ticket = told.nextTicket ?? told.sentTicket;
      if (told.nextTicket !== undefined && !sawTicket) {
        sawTicket = true;
        this.onTicket();
      }
      await this.world.wait(Math.max(WAIT_MS[told.outcome], told.retryAfterMs));
    }
    this.onAnswer();
    const sent = this.told.at(-1)?.sentTicket;
    if (!repeats || this.kind !== 'money' || sent === undefined) return;
    await this.world.wait(BETWEEN_TRIES_MS);
    this.record(await this.tryOnce(sent));
  }

  private record(told: Told): void {
    this.told.push(told);
    const { outcome, reason, nextTicket = 'none', retryAfterMs } = told;
    const shown = `${outcome} ${reason} retry after ${retryAfterMs} next ticket ${nextTicket}`;
    this.world.note(`${this.name} told ${shown}`);
  }

  private entry(): EntryDaemon {
    const entry = this.world.entries.find(({ process }) => !process.isKilled);
    if (entry === undefined) throw new Error('no entry daemon is alive');
    return entry;
  }

  private async tryOnce(ticketText: string | undefined): Promise<Told> {
    const entry = this.entry();
    const cancellation = new Cancellation();
    const request = this.requestOf(ticketText, cancellation);
    this.world.note(`${this.name} -> ${entry.id.name} ${this.kind} ticket ${ticketText ?? 'none'}`);
    const none = {
      rootId: '',
      sentTicket: ticketText,
      nextTicket: undefined,
      retryAfterMs: 0,
      body: '',
    };
    return new Promise((resolve) => {
      const { base } = this.world;
      const lost = (reason: string): void => resolve({ ...none, outcome: 'lost', reason });
      entry.process.whenKilled(() => lost('connection closed'));
      const timer = base.after(TIMEOUT_MS, () => {
        entry.process.run(() => cancellation.cancel('caller-gone'));
        lost('timeout');
      });
      this.leaveNow = () => {
        timer.cancel();
        resolve({ ...none, outcome: 'left', reason: '' });
        entry.process.run(() => cancellation.cancel('caller-gone'));
      };
      const deliver = (answer: EntryResponse): void => {
        timer.cancel();
        resolve(FakeCaller.toldBy(answer, ticketText));
      };
      base.after(HOP_MS, () => {
        entry.process.run(() => {
          const onAnswer = (answer: EntryResponse): void => {
            entry.process.run(() => base.after(HOP_MS, () => deliver(answer)));
          };
          entry.entry.handle(request).then(onAnswer, (error: unknown) => lost(String(error)));
        });
      });
    });
  }

  private requestOf(ticketText: string | undefined, cancellation: Cancellation): EntryRequest {
    const isMoney = this.kind === 'money';
    return {
      service: SERVICE,
      content: {
        httpMethod: isMoney ? 'POST' : 'GET',
        path: isMoney ? '/payouts' : '/rates',
        headers: [],
        body: { kind: 'held', bytes: Buffer.alloc(0) },
      },
      requestedBudgetMs: undefined,
      ticketText,
      origin: { kind: 'caller' },
      cancellation,
    };
  }

  private static toldBy(answer: EntryResponse, sentTicket: string | undefined): Told {
    const { result, rootId, ticket } = answer;
    const hasBody = 'body' in result && result.body.kind === 'held';
    return {
      outcome: result.outcome,
      reason: 'reason' in result ? result.reason : '',
      rootId,
      sentTicket,
      nextTicket: ticket,
      retryAfterMs: 'retryAfterMs' in result ? result.retryAfterMs : 0,
      body: hasBody && result.body.kind === 'held' ? result.body.bytes.toString() : '',
    };
  }
}
