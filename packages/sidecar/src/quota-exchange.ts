import type { LinkChange } from '@daisyferry/accounts/daemon-reach';
import type { QuotaAsk } from '@daisyferry/accounts/quota-ask';
import type { QuotaLimit } from '@daisyferry/accounts/quota-bucket';
import { QuotaFigures } from '@daisyferry/accounts/quota-figures';
import type { QuotaGate } from '@daisyferry/accounts/quota-gate';
import { QuotaMember } from '@daisyferry/accounts/quota-member';
import type { FleetDirectory } from '@daisyferry/mesh/fleet-directory';
import type { RouteTable } from '@daisyferry/mesh/route-table';
import { FrameKind, type Frame } from '@daisyferry/peering/frame';
import {
  decodeQuotaAnswers,
  decodeQuotaQuestion,
  encodeQuotaAnswers,
  encodeQuotaQuestion,
} from '@daisyferry/peering/quota-codec';
import type { EventLog } from './event-log';
import type { PeerConnections } from './peer-connections';
import type { ControlFrameSender } from './peer-group';

export interface QuotaExchangeParts {
  readonly ownDaemonId: string;
  readonly ownZone: string;
  readonly directory: FleetDirectory;
  readonly peers: Pick<PeerConnections, 'setHandler' | 'sendControlTo'>;
  readonly routes: () => RouteTable | undefined;
  /** Length of the windows in which quotas may be used; undefined if no bound states it. */
  readonly windowMs: () => number | undefined;
  readonly log: EventLog;
  readonly clock: () => number;
}

/** Time between two checks of what waits and of the quota homes. */
const TICK_INTERVAL_MS = 50;

/**
 * Carries the questions for quotas and their answers between the daemons, and tells the decisions
 * which daemons there are. Does nothing while the configuration has no client accounts.
 */
export class QuotaExchange {
  private readonly figures = new QuotaFigures();

  private readonly member: QuotaMember;

  private isFlushScheduled = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: QuotaExchangeParts) {
    const { ownDaemonId, ownZone, directory, peers, log } = parts;
    this.member = new QuotaMember({
      ownDaemonId,
      zones: {
        ownZone,
        zoneOf: (daemonId) => directory.recordOf(daemonId)?.zone,
        zoneSize: (zone) => directory.zoneSize(zone),
      },
      isLeaving: (daemonId) => directory.recordOf(daemonId)?.isLeaving === true,
      limitOf: (account) => this.limitOf(account),
      hasConfiguration: () => parts.routes() !== undefined,
      windowMs: parts.windowMs,
      sendQuestion: (daemonId, number, asks) => this.sendQuestion(daemonId, number, asks),
      scheduleFlush: () => this.scheduleFlush(),
      onPartChange: (before, nowMs) => {
        const share = Math.round(this.member.share(nowMs) * 100) / 100;
        log.stateChange('accounts with their quota home here have changed', { before, share });
      },
      figures: this.figures,
    });
    peers.setHandler(FrameKind.quotaRequest, (frame, daemonId, sender) =>
      this.handleQuestion(frame, daemonId, sender),
    );
    peers.setHandler(FrameKind.quotaGrant, (frame, daemonId) =>
      this.handleAnswers(frame, daemonId),
    );
    directory.subscribe({
      onRecord: ({ daemonId }, isNewState) => {
        this.member.handleMember(daemonId, true);
        if (isNewState) this.member.handleNewState(daemonId);
      },
      onRemoved: (daemonId) => this.member.handleMember(daemonId, false),
    });
  }

  get gate(): QuotaGate {
    return this.member.entry;
  }

  /** Starts or stops, as the configuration has accounts or none. */
  applyConfiguration(): void {
    if (!this.hasAccounts) {
      clearInterval(this.timer);
      this.timer = undefined;
    } else {
      this.timer ??= setInterval(() => this.member.tick(this.parts.clock()), TICK_INTERVAL_MS);
      this.timer.unref();
    }
  }

  handleLink(daemonId: string, change: LinkChange): void {
    this.member.handleLink(daemonId, change, this.parts.clock());
  }

  /** Lines of the metrics: the largest accounts by name, the others together. */
  *metricLines(): Iterable<string> {
    const nowMs = this.parts.clock();
    if (!this.hasAccounts) return;
    yield `daisyferry_quota_share ${this.member.share(nowMs)}`;
    yield `daisyferry_quota_waiting ${this.member.entry.waiting}`;
    yield `daisyferry_quota_accounts_held ${this.member.home.heldCount}`;
    const { named, rest } = this.figures.summary();
    for (const [account, { admitted, refused }] of [...named, ['', rest] as const]) {
      const label = account === '' ? 'others="true"' : `account=${JSON.stringify(account)}`;
      yield `daisyferry_account_requests_total{${label},outcome="admitted"} ${admitted}`;
      yield `daisyferry_account_requests_total{${label},outcome="refused"} ${refused}`;
    }
  }

  private get hasAccounts(): boolean {
    return this.parts.routes()?.hasAccounts === true;
  }

  private limitOf(account: string): QuotaLimit | 'unlimited' | undefined {
    const present = this.parts.routes()?.accountOf(account);
    if (present === undefined) return undefined;
    const { ratePerS, burst } = present;
    return ratePerS === undefined ? 'unlimited' : { ratePerS, burst };
  }

  private sendQuestion(daemonId: string, number: number, asks: readonly QuotaAsk[]): void {
    const head = encodeQuotaQuestion({ number, asks });
    this.parts.peers.sendControlTo(daemonId, FrameKind.quotaRequest, head);
  }

  private handleQuestion({ head }: Frame, daemonId: string, sender: ControlFrameSender): void {
    const question = decodeQuotaQuestion(head);
    if (question === undefined) {
      this.parts.log.warn('unreadable question for quotas', { daemonId });
      return;
    }
    const { number, asks } = question;
    const answers = this.member.handleQuestion(daemonId, asks, this.parts.clock());
    sender.sendControl(FrameKind.quotaGrant, encodeQuotaAnswers({ number, answers }));
  }

  private handleAnswers({ head }: Frame, daemonId: string): void {
    const answered = decodeQuotaAnswers(head);
    if (answered === undefined) {
      this.parts.log.warn('unreadable answer on quotas', { daemonId });
      return;
    }
    const { number, answers } = answered;
    this.member.handleAnswers(daemonId, number, answers, this.parts.clock());
  }

  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      this.member.flush(this.parts.clock());
    });
  }
}
