import { Cancellation } from '@daisyferry/callpath/cancellation';
import type { EntryRequest, EntryResponse } from '@daisyferry/callpath/entry-call';
import type { EntryDaemon } from './entry-daemon';
import { DEADLINE_MS, SERVICE } from './fake-policies';
import type { SimulatedCluster } from './simulated-cluster';

/** Result of one try as the caller sees it, with or without a response. */
export interface TryResult {
  readonly outcome: 'completed' | 'failed' | 'not-run' | 'unknown' | 'lost' | 'left';
  readonly reason: string;
  readonly rootId: string;
  /** The ticket sent with the try. */
  readonly sentTicket: string | undefined;
  readonly nextTicket: string | undefined;
  /** Retry delay of a refusal. */
  readonly retryAfterMs: number;
  readonly body: string;
}

export type CallKind = 'money' | 'idempotent';

const HOP_MS = 1;
const BETWEEN_TRIES_MS = 300;
const TIMEOUT_MS = DEADLINE_MS + 500;
const MAX_TRIES = 6;
/** Delay before the next try, by the outcome of the previous one. */
const WAIT_MS: Readonly<Record<TryResult['outcome'], number>> = {
  completed: 0,
  failed: 0,
  'not-run': HOP_MS,
  unknown: BETWEEN_TRIES_MS,
  lost: BETWEEN_TRIES_MS,
  left: 2_500,
};

/** A caller that follows the rules for callers: it repeats an unknown call with the same ticket. */
export class FakeCaller {
  readonly results: TryResult[] = [];

  /** Called when the caller has received its first ticket, before it is used. */
  onTicket: () => void = () => undefined;

  /** Called after the last try. */
  onResponse: () => void = () => undefined;

  private disconnect: () => void = () => undefined;

  constructor(
    private readonly cluster: SimulatedCluster,
    readonly kind: CallKind,
    private readonly name = 'caller',
  ) {}

  /** Closes the connection of the try in progress. */
  leave(): void {
    this.disconnect();
  }

  /** Tries until the call has a final outcome; with `repeats`, repeats its ticket once after that. */
  async run(repeats: boolean): Promise<void> {
    let ticket: string | undefined;
    let hasTicket = false;
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const result = await this.tryOnce(ticket);
      this.recordResult(result);
      if (result.outcome === 'completed' || result.outcome === 'failed') break;
      if (this.kind === 'idempotent' && result.outcome === 'left') break;
      ticket = result.nextTicket ?? result.sentTicket;
      if (result.nextTicket !== undefined && !hasTicket) {
        hasTicket = true;
        this.onTicket();
      }
      await this.cluster.sleep(Math.max(WAIT_MS[result.outcome], result.retryAfterMs));
    }
    this.onResponse();
    const sent = this.results.at(-1)?.sentTicket;
    if (!repeats || this.kind !== 'money' || sent === undefined) return;
    await this.cluster.sleep(BETWEEN_TRIES_MS);
    this.recordResult(await this.tryOnce(sent));
  }

  private recordResult(result: TryResult): void {
    this.results.push(result);
    const { outcome, reason, nextTicket = 'none', retryAfterMs } = result;
    const shown = `${outcome} ${reason} retry after ${retryAfterMs} next ticket ${nextTicket}`;
    this.cluster.recordLine(`${this.name} received ${shown}`);
  }

  private liveEntry(): EntryDaemon {
    const entry = this.cluster.entries.find(({ process }) => !process.isKilled);
    if (entry === undefined) throw new Error('no entry daemon is alive');
    return entry;
  }

  private async tryOnce(ticketText: string | undefined): Promise<TryResult> {
    const entry = this.liveEntry();
    const cancellation = new Cancellation();
    const request = this.requestOf(ticketText, cancellation);
    this.cluster.recordLine(
      `${this.name} -> ${entry.id.name} ${this.kind} ticket ${ticketText ?? 'none'}`,
    );
    const emptyResult = {
      rootId: '',
      sentTicket: ticketText,
      nextTicket: undefined,
      retryAfterMs: 0,
      body: '',
    };
    return new Promise((resolve) => {
      const { scheduler } = this.cluster;
      const lost = (reason: string): void => resolve({ ...emptyResult, outcome: 'lost', reason });
      entry.process.whenKilled(() => lost('connection closed'));
      const timer = scheduler.after(TIMEOUT_MS, () => {
        entry.process.run(() => cancellation.cancel('caller-gone'));
        lost('timeout');
      });
      this.disconnect = () => {
        timer.cancel();
        resolve({ ...emptyResult, outcome: 'left', reason: '' });
        entry.process.run(() => cancellation.cancel('caller-gone'));
      };
      const deliver = (response: EntryResponse): void => {
        timer.cancel();
        resolve(FakeCaller.resultFrom(response, ticketText));
      };
      scheduler.after(HOP_MS, () => {
        entry.process.run(() => {
          const onResponse = (response: EntryResponse): void => {
            entry.process.run(() => scheduler.after(HOP_MS, () => deliver(response)));
          };
          entry.handler.handle(request).then(onResponse, (error: unknown) => lost(String(error)));
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
        body: { kind: 'buffered', bytes: Buffer.alloc(0) },
      },
      requestedBudgetMs: undefined,
      ticketText,
      origin: { kind: 'caller' },
      cancellation,
    };
  }

  private static resultFrom(response: EntryResponse, sentTicket: string | undefined): TryResult {
    const { result, rootId, ticket } = response;
    const hasBody = 'body' in result && result.body.kind === 'buffered';
    return {
      outcome: result.outcome,
      reason: 'reason' in result ? result.reason : '',
      rootId,
      sentTicket,
      nextTicket: ticket,
      retryAfterMs: 'retryAfterMs' in result ? result.retryAfterMs : 0,
      body: hasBody && result.body.kind === 'buffered' ? result.body.bytes.toString() : '',
    };
  }
}
