import type { ClientAccount } from '@daisyferry/mesh/client-account';
import type { QuotaAnswer, QuotaAsk } from './quota-ask';
import type { QuotaFigures } from './quota-figures';
import type { QuotaGate, QuotaTicket, QuotaVerdict } from './quota-gate';
import { ringPoint } from './quota-ring';
import { QuotaStock } from './quota-stock';
import { PART_LAPSE_MS } from './quota-terms';

export interface QuotaEntryOptions {
  /** The quota home of the accounts at a place of the ring; undefined if none can be reached. */
  readonly homeOf: (point: number, nowMs: number) => string | undefined;
  /** Sends a question. Without a connection it is repeated once there is one, or after a while. */
  readonly send: (homeId: string, number: number, asks: readonly QuotaAsk[], nowMs: number) => void;
  /** Calls `flush` soon. */
  readonly scheduleFlush: () => void;
  readonly figures: QuotaFigures;
}

interface Waiter {
  readonly latestMs: number;
  readonly settle: (verdict: QuotaVerdict) => void;
}

interface PendingQuestion {
  readonly homeId: string;
  readonly askedAtMs: number;
  readonly asks: readonly QuotaAsk[];
}

/** Maximum number of requests that wait at this entry, and of those of one account. */
const MAX_WAITING = 512;
const MAX_WAITING_OF_ACCOUNT = 128;
/** Maximum time for which a request waits for a part of the quota. */
const MAX_WAIT_MS = 1_000;
/** Time after which a question without an answer is asked anew. */
const ASK_TIMEOUT_MS = 250;
/** Time after which callers may come back where no quota home answers. */
const UNANSWERED_ROOM_MS = 500;
/** Time without requests after which the stock of an account is dropped. */
const IDLE_MS = 10_000;
/** Stock at which the next part is asked for, as a share of the requests that are expected. */
const LOW_STOCK_SHARE = 0.4;

/** Longest time after which a new quota home without room is asked again. */
const MAX_PATIENT_INTERVAL_MS = 100;

const ADMITTED: QuotaVerdict = { kind: 'admitted' };

/**
 * Decides at the entry which requests of an account lie within its quota. It admits from the parts
 * that the account's quota home has handed out, asks for them ahead of need, lets a request wait
 * for a part that is on its way, and refuses what lies beyond until the time that the home told.
 * Load that it answers: an account that asks ten times its limit for seconds. A refused request
 * costs a look-up, and one question is under way for an account at a time.
 */
export class QuotaEntry implements QuotaGate {
  private readonly stocks = new Map<string, QuotaStock>();

  private readonly waiters = new Map<string, Waiter[]>();

  private readonly toAsk = new Set<string>();

  private readonly pending = new Map<number, PendingQuestion>();

  private waitingCount = 0;

  private nextNumber = 1;

  private sweptAtMs = 0;

  constructor(private readonly options: QuotaEntryOptions) {}

  get heldCount(): number {
    return this.stocks.size;
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.waitingCount;
  }

  describe(account: string, nowMs: number): Readonly<Record<string, unknown>> {
    const stock = this.stocks.get(account);
    if (stock === undefined) return {};
    const ageMs = nowMs - stock.grantedAtMs;
    return {
      quotaHome: this.options.homeOf(stock.point, nowMs),
      stock: stock.heldAt(nowMs),
      grantAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    };
  }

  request(
    { name }: ClientAccount,
    latestMs: number,
    nowMs: number,
    settle: (verdict: QuotaVerdict) => void,
  ): QuotaVerdict | QuotaTicket {
    const stock = this.stockOf(name);
    stock.recordRequest(nowMs);
    if (nowMs < stock.refusedUntilMs) {
      this.options.figures.count(name, 'refused');
      return { kind: 'refused', roomInMs: stock.refusedUntilMs - nowMs, detail: 'over the quota' };
    }
    if (!this.waiters.has(name) && stock.tryTake(nowMs)) {
      this.options.figures.count(name, 'admitted');
      this.askAhead(name, stock, nowMs);
      return ADMITTED;
    }
    const waitingOfAccount = this.waiters.get(name)?.length ?? 0;
    if (this.waitingCount >= MAX_WAITING || waitingOfAccount >= MAX_WAITING_OF_ACCOUNT) {
      this.options.figures.count(name, 'refused');
      return this.unanswered('too many requests wait for quotas');
    }
    const waiter = { latestMs: Math.min(latestMs, nowMs + MAX_WAIT_MS), settle };
    this.addWaiter(name, waiter);
    if (!stock.isAsked && nowMs >= stock.askAgainAtMs) this.askSoon(name);
    return { kind: 'waiting', cancel: () => this.removeWaiter(name, waiter) };
  }

  /** Asks for the parts that are needed; one question for each quota home. */
  flush(nowMs: number): void {
    const byHome = new Map<string, QuotaAsk[]>();
    for (const account of this.toAsk) {
      const stock = this.stockOf(account);
      const homeId = this.options.homeOf(stock.point, nowMs);
      const need = this.waiters.get(account)?.length ?? 0;
      if (homeId === undefined) {
        stock.askAgainAtMs = nowMs + ASK_TIMEOUT_MS;
      } else {
        const ahead = Math.max(0, stock.expected - stock.heldAt(nowMs));
        if (need + ahead > 0) {
          const ask = { account, need, ahead, unused: stock.takeUnused(nowMs) };
          const asks = byHome.get(homeId);
          if (asks === undefined) byHome.set(homeId, [ask]);
          else asks.push(ask);
        }
      }
    }
    this.toAsk.clear();
    for (const [homeId, asks] of byHome) this.ask(homeId, asks, nowMs);
  }

  /** Applies the answers to a question, in the order of what was asked. */
  handleAnswers(
    homeId: string,
    number: number,
    answers: readonly QuotaAnswer[],
    nowMs: number,
  ): void {
    const question = this.pending.get(number);
    if (question === undefined || question.homeId !== homeId) return;
    this.pending.delete(number);
    question.asks.forEach((ask, index) => {
      const answer = answers[index] ?? { kind: 'deferred', forMs: ASK_TIMEOUT_MS };
      const stock = this.stockOf(ask.account);
      stock.isAsked = false;
      if (answer.kind === 'granted') {
        this.applyGrant(ask, answer, question.askedAtMs, nowMs);
      } else if (answer.kind === 'unready') {
        if (this.waiters.has(ask.account)) this.askSoon(ask.account);
      } else {
        stock.askAgainAtMs = nowMs + answer.forMs;
        stock.patientUntilMs = nowMs + MAX_WAIT_MS;
      }
    });
  }

  /** Asks again what the daemon was asked, as the connection to it has ended or begun. */
  repeatAsked(homeId: string): void {
    for (const [number, question] of this.pending) {
      if (question.homeId === homeId) this.repeat(number, question);
    }
  }

  /** Called several times a second. */
  tick(nowMs: number): void {
    for (const [number, question] of this.pending) {
      if (nowMs - question.askedAtMs >= ASK_TIMEOUT_MS) this.repeat(number, question);
    }
    for (const [account, waiters] of this.waiters) {
      const stock = this.stockOf(account);
      if (!stock.isAsked && nowMs >= stock.askAgainAtMs) this.askSoon(account);
      const late = waiters.filter(({ latestMs }) => nowMs >= latestMs);
      for (const waiter of late) {
        this.removeWaiter(account, waiter);
        this.options.figures.count(account, 'refused');
        waiter.settle(this.unanswered('no answer of the quota home'));
      }
    }
    if (nowMs - this.sweptAtMs > IDLE_MS) this.sweep(nowMs);
  }

  private ask(homeId: string, asks: readonly QuotaAsk[], nowMs: number): void {
    const number = this.nextNumber;
    this.nextNumber += 1;
    for (const { account } of asks) this.stockOf(account).isAsked = true;
    this.pending.set(number, { homeId, askedAtMs: nowMs, asks });
    this.options.send(homeId, number, asks, nowMs);
  }

  private applyGrant(
    { account, need }: QuotaAsk,
    { count, roomInMs }: Extract<QuotaAnswer, { kind: 'granted' }>,
    askedAtMs: number,
    nowMs: number,
  ): void {
    const stock = this.stockOf(account);
    stock.add(count, askedAtMs, nowMs);
    const waiters = this.waiters.get(account) ?? [];
    while (waiters.length > 0 && stock.tryTake(nowMs)) {
      const [first] = waiters;
      if (first === undefined) break;
      this.removeWaiter(account, first);
      this.options.figures.count(account, 'admitted');
      first.settle(ADMITTED);
    }
    if (waiters.length === 0) return;
    if (count >= need) {
      this.askSoon(account);
      return;
    }
    if (nowMs < stock.patientUntilMs) {
      stock.askAgainAtMs = nowMs + Math.min(roomInMs, MAX_PATIENT_INTERVAL_MS);
      return;
    }
    stock.refusedUntilMs = nowMs + roomInMs;
    for (const waiter of [...waiters]) {
      this.removeWaiter(account, waiter);
      this.options.figures.count(account, 'refused');
      waiter.settle({ kind: 'refused', roomInMs, detail: 'over the quota' });
    }
  }

  private askAhead(account: string, stock: QuotaStock, nowMs: number): void {
    if (stock.isAsked || !stock.mayAskAhead(nowMs)) return;
    const { expected } = stock;
    if (expected < 1 || stock.heldAt(nowMs) > expected * LOW_STOCK_SHARE) return;
    stock.recordAskedAhead(nowMs);
    this.askSoon(account);
  }

  /** Gives a question up and asks anew for its accounts that still need something. */
  private repeat(number: number, { asks }: PendingQuestion): void {
    this.pending.delete(number);
    for (const { account } of asks) {
      this.stockOf(account).isAsked = false;
      if (this.waiters.has(account)) this.askSoon(account);
    }
  }

  private askSoon(account: string): void {
    if (this.toAsk.size === 0) this.options.scheduleFlush();
    this.toAsk.add(account);
  }

  private addWaiter(account: string, waiter: Waiter): void {
    this.waitingCount += 1;
    const present = this.waiters.get(account);
    if (present === undefined) this.waiters.set(account, [waiter]);
    else present.push(waiter);
  }

  private removeWaiter(account: string, waiter: Waiter): void {
    const waiters = this.waiters.get(account);
    const index = waiters?.indexOf(waiter) ?? -1;
    if (waiters === undefined || index < 0) return;
    waiters.splice(index, 1);
    this.waitingCount -= 1;
    if (waiters.length === 0) this.waiters.delete(account);
  }

  private stockOf(account: string): QuotaStock {
    const present = this.stocks.get(account);
    if (present !== undefined) return present;
    const stock = new QuotaStock(ringPoint(account));
    this.stocks.set(account, stock);
    return stock;
  }

  private sweep(nowMs: number): void {
    this.sweptAtMs = nowMs;
    for (const [account, stock] of this.stocks) {
      const isIdle = nowMs - stock.lastUsedMs > Math.max(IDLE_MS, PART_LAPSE_MS);
      if (isIdle && !this.waiters.has(account)) this.stocks.delete(account);
    }
  }

  private unanswered(detail: string): QuotaVerdict {
    return { kind: 'unanswered', roomInMs: UNANSWERED_ROOM_MS, detail };
  }
}
