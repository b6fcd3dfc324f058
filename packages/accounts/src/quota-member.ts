import { DaemonReach, type LinkChange, type ZoneView } from './daemon-reach';
import type { QuotaAnswer, QuotaAsk } from './quota-ask';
import type { QuotaLimit } from './quota-bucket';
import { QuotaEntry } from './quota-entry';
import type { QuotaFigures } from './quota-figures';
import { QuotaHome } from './quota-home';
import { QuotaRing } from './quota-ring';
import { RingPart } from './ring-part';

type SendQuestion = (daemonId: string, number: number, asks: readonly QuotaAsk[]) => void;

export interface QuotaMemberOptions {
  readonly ownDaemonId: string;
  readonly zones: ZoneView;
  /** Whether the daemon is about to stop. */
  readonly isLeaving: (daemonId: string) => boolean;
  readonly limitOf: (account: string) => QuotaLimit | 'unlimited' | undefined;
  readonly hasConfiguration: () => boolean;
  /** See `QuotaHomeOptions`. */
  readonly windowMs?: (() => number | undefined) | undefined;
  /** Sends a question to another daemon, which may have to be connected first. */
  readonly sendQuestion: SendQuestion;
  /** Calls `flush` soon. */
  readonly scheduleFlush: () => void;
  /** Called when the accounts whose home this daemon is have changed. */
  readonly onPartChange: (before: string | undefined, nowMs: number) => void;
  readonly figures: QuotaFigures;
}

/** Number of the questions without content, which only ask whether the daemon answers. */
const PROBE_NUMBER = 0;
/** Shortest time between two of them to one daemon. */
const PROBE_INTERVAL_MS = 500;
/** Time between two questions to daemons that do not answer, and how many of them are asked. */
const MISSED_PROBE_INTERVAL_MS = 1_000;
const MAX_MISSED = 64;
/** Time for which the share of the fleet that is reached is not told anew. */
const SHARE_INTERVAL_MS = 50;

/**
 * One daemon's part in the quotas of the fleet: entry for its callers, quota home for some of the
 * accounts, and its view of who is whose home.
 */
export class QuotaMember {
  readonly entry: QuotaEntry;

  readonly home: QuotaHome;

  private readonly ring = new QuotaRing();

  private readonly reach: DaemonReach;

  private knownShare = 0;

  private shareAtMs = Number.NEGATIVE_INFINITY;

  private probedAtMs = Number.NEGATIVE_INFINITY;

  /** Daemons that would be somebody's quota home if they were reached. */
  private readonly missed = new Set<string>();

  private missedProbedAtMs = 0;

  constructor(private readonly options: QuotaMemberOptions) {
    const { ownDaemonId, figures, scheduleFlush } = options;
    this.reach = new DaemonReach(options.zones);
    this.ring.add(ownDaemonId);
    this.home = new QuotaHome({
      part: new RingPart(ownDaemonId),
      limitOf: options.limitOf,
      hasConfiguration: options.hasConfiguration,
      windowMs: options.windowMs,
      share: (nowMs) => this.share(nowMs),
    });
    this.entry = new QuotaEntry({
      homeOf: (point, nowMs) => this.ring.homeOf(point, (id) => this.isUsable(id, nowMs)),
      send: (homeId, number, asks, nowMs) => this.send(homeId, number, asks, nowMs),
      scheduleFlush,
      figures,
    });
  }

  /** Share of each quota that this daemon hands out as its home. */
  share(nowMs: number): number {
    if (nowMs - this.shareAtMs >= SHARE_INTERVAL_MS) {
      this.shareAtMs = nowMs;
      this.knownShare = this.reach.share(nowMs);
    }
    return this.knownShare;
  }

  handleMember(daemonId: string, isPresent: boolean): void {
    this.reach.recordMember(daemonId, isPresent);
    if (isPresent) {
      this.ring.add(daemonId);
    } else if (daemonId !== this.options.ownDaemonId) {
      this.ring.remove(daemonId);
    }
  }

  /** Records that the daemon was started again, or that it leaves. */
  handleNewState(daemonId: string): void {
    this.reach.clear(daemonId);
  }

  handleLink(daemonId: string, change: LinkChange, nowMs: number): void {
    this.reach.recordLink(daemonId, this.options.isLeaving(daemonId) ? 'closed' : change, nowMs);
    this.entry.repeatAsked(daemonId);
  }

  handleQuestion(daemonId: string, asks: readonly QuotaAsk[], nowMs: number): QuotaAnswer[] {
    this.reach.recordHeard(daemonId);
    return this.answer(asks, nowMs);
  }

  handleAnswers(
    daemonId: string,
    number: number,
    answers: readonly QuotaAnswer[],
    nowMs: number,
  ): void {
    this.reach.recordHeard(daemonId);
    const [first] = answers;
    if (first?.kind === 'unready') this.reach.recordUnready(daemonId, nowMs + first.forMs);
    this.entry.handleAnswers(daemonId, number, answers, nowMs);
  }

  flush(nowMs: number): void {
    this.entry.flush(nowMs);
  }

  /** Called several times a second. */
  tick(nowMs: number): void {
    if (this.home.check(nowMs)) this.reach.recordPause(nowMs);
    this.updatePart(nowMs);
    this.entry.tick(nowMs);
    if (nowMs - this.missedProbedAtMs >= MISSED_PROBE_INTERVAL_MS) this.probeMissed(nowMs);
  }

  private answer(asks: readonly QuotaAsk[], nowMs: number): QuotaAnswer[] {
    if (this.home.check(nowMs)) this.reach.recordPause(nowMs);
    const before = this.updatePart(nowMs);
    const unreadyMs = this.home.unreadyMs(nowMs);
    if (unreadyMs > 0 || this.options.isLeaving(this.options.ownDaemonId)) {
      const answer = { kind: 'unready', forMs: Math.max(unreadyMs, PROBE_INTERVAL_MS) } as const;
      return asks.length === 0 ? [answer] : asks.map(() => answer);
    }
    const answers = asks.map((ask) => this.home.answer(ask, nowMs));
    if (before !== undefined && answers.some(({ kind }) => kind === 'deferred'))
      this.probe(before, nowMs);
    return answers;
  }

  /** Asks whether the daemon answers, as another one took this daemon for the home in its place. */
  private probe(daemonId: string, nowMs: number): void {
    if (nowMs - this.probedAtMs < PROBE_INTERVAL_MS) return;
    this.probedAtMs = nowMs;
    this.reach.recordAsked(daemonId, nowMs);
    this.options.sendQuestion(daemonId, PROBE_NUMBER, []);
  }

  /** Asks the daemons that were passed over, so that their links are opened again and stay. */
  private probeMissed(nowMs: number): void {
    this.missedProbedAtMs = nowMs;
    for (const daemonId of this.missed) this.options.sendQuestion(daemonId, PROBE_NUMBER, []);
    this.missed.clear();
  }

  private updatePart(nowMs: number): string | undefined {
    const { ownDaemonId, onPartChange } = this.options;
    const before = this.ring.before(ownDaemonId, (id) => this.isUsable(id, nowMs));
    if (this.home.setBefore(before, nowMs)) onPartChange(before, nowMs);
    return before;
  }

  private isUsable(daemonId: string, nowMs: number): boolean {
    if (this.options.isLeaving(daemonId)) return false;
    if (daemonId === this.options.ownDaemonId) return this.home.unreadyMs(nowMs) === 0;
    const isReachable = this.reach.isReachable(daemonId, nowMs);
    if (!isReachable && this.missed.size < MAX_MISSED) this.missed.add(daemonId);
    return isReachable;
  }

  private send(homeId: string, number: number, asks: readonly QuotaAsk[], nowMs: number): void {
    const { ownDaemonId, sendQuestion } = this.options;
    if (homeId === ownDaemonId) {
      this.entry.handleAnswers(homeId, number, this.answer(asks, nowMs), nowMs);
      return;
    }
    this.reach.recordAsked(homeId, nowMs);
    sendQuestion(homeId, number, asks);
  }
}
