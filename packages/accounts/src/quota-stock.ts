import { PART_LAPSE_MS } from './quota-terms';

/** Time over which the rate of an account's requests is averaged. */
const RATE_WINDOW_MS = 500;
/** Shortest time between two questions ahead of need. */
const AHEAD_INTERVAL_MS = 50;

/** What one entry holds of one account's quota, and how fast it uses it. */
export class QuotaStock {
  /** Time until which requests are refused, as the quota home told. */
  refusedUntilMs = 0;

  /** Time at which the account's requests are asked for again, after a deferral. */
  askAgainAtMs = 0;

  /** Time until which requests wait for room, as the account's quota home has just changed. */
  patientUntilMs = 0;

  /** True while a question for the account is on its way. */
  isAsked = false;

  /** Time of the last answer that granted something. */
  grantedAtMs = Number.NEGATIVE_INFINITY;

  lastUsedMs = 0;

  private tokens = 0;

  private lapsesAtMs = 0;

  private unused = 0;

  private perMs = 0;

  private askedAheadAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    /** Place of the account on the ring. */
    readonly point: number,
  ) {}

  /** Records a request of the account. */
  recordRequest(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.lastUsedMs);
    this.perMs = this.perMs * Math.exp(-elapsedMs / RATE_WINDOW_MS) + 1 / RATE_WINDOW_MS;
    this.lastUsedMs = nowMs;
  }

  /** Requests that are expected within the time for which a part lasts, less a margin. */
  get expected(): number {
    return Math.floor(this.perMs * PART_LAPSE_MS * 0.8);
  }

  mayAskAhead(nowMs: number): boolean {
    return nowMs >= this.askAgainAtMs && nowMs - this.askedAheadAtMs >= AHEAD_INTERVAL_MS;
  }

  recordAskedAhead(nowMs: number): void {
    this.askedAheadAtMs = nowMs;
  }

  heldAt(nowMs: number): number {
    if (this.tokens > 0 && nowMs >= this.lapsesAtMs) {
      this.unused += this.tokens;
      this.tokens = 0;
    }
    return this.tokens;
  }

  tryTake(nowMs: number): boolean {
    if (this.heldAt(nowMs) < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Adds a part that was asked for at `askedAtMs`; what is left of the earlier one goes back. */
  add(count: number, askedAtMs: number, nowMs: number): void {
    if (count <= 0) return;
    this.unused += this.heldAt(nowMs);
    this.tokens = count;
    this.lapsesAtMs = askedAtMs + PART_LAPSE_MS;
    this.grantedAtMs = nowMs;
  }

  /** Takes the number of tokens that go back to the quota home. */
  takeUnused(nowMs: number): number {
    this.heldAt(nowMs);
    const { unused } = this;
    this.unused = 0;
    return unused;
  }
}
