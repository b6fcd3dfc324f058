import type { CrashReport, CrashSuspects } from '@daisyferry/mesh/crash-suspects';
import type { RandomSource } from '@daisyferry/model/scheduler';
import { decodeCrashReports, encodeCrashReports } from '@daisyferry/peering/control-codec';
import { FrameKind } from '@daisyferry/peering/frame';
import type { EventLog } from './event-log';
import type { ControlFrameSender, PeerGroup } from './peer-group';

export interface CrashExchangeParts {
  readonly suspects: CrashSuspects;
  readonly peers: PeerGroup;
  readonly random: RandomSource;
  readonly log: Pick<EventLog, 'stateChange'>;
  readonly clock: () => number;
}

/** Maximum number of peers that a daemon tells of news; each of them does the same. */
const MAX_RECEIVERS = 16;

/** Spreads what is known of requests that crash targets: news at once, everything to new peers. */
export class CrashExchange {
  constructor(private readonly parts: CrashExchangeParts) {}

  /** Tells peers what this daemon has found; a report travels through each daemon once. */
  spread(reports: readonly CrashReport[], source?: ControlFrameSender): void {
    if (reports.length === 0) return;
    const head = encodeCrashReports(reports);
    for (const sender of this.drawReceivers(source)) sender.sendControl(FrameKind.crashes, head);
  }

  /** Tells a peer that has connected what it may have missed. */
  sendAll(sender: ControlFrameSender): void {
    const { suspects, clock } = this.parts;
    if (suspects.isEmpty) return;
    sender.sendControl(FrameKind.crashes, encodeCrashReports(suspects.reports(clock())));
  }

  handleFrame(head: string, sender: ControlFrameSender): void {
    const { suspects, log, clock } = this.parts;
    const news = suspects.merge(decodeCrashReports(head), clock());
    if (news.length === 0) return;
    for (const { fingerprint, crashes } of news) {
      if (crashes > 0) log.stateChange('suspect reported by a peer', { fingerprint, crashes });
    }
    this.spread(news, sender);
  }

  private drawReceivers(source: ControlFrameSender | undefined): ControlFrameSender[] {
    const senders = [...this.parts.peers.connectedPeers()]
      .map(({ sender }) => sender)
      .filter((sender) => sender !== source);
    while (senders.length > MAX_RECEIVERS) {
      senders.splice(Math.floor(this.parts.random() * senders.length), 1);
    }
    return senders;
  }
}
