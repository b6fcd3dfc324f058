import type { HomeCallHandler } from '@daisyferry/callpath/home-call-handler';
import type {
  HomeClient,
  HomeReply,
  PeerCall,
  SendResult,
} from '@daisyferry/callpath/call-message';
import { Cancellation } from '@daisyferry/callpath/cancellation';
import type { Member } from '@daisyferry/model/member';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import type { FakeProcess } from './fake-process';

/** A home daemon that accepts connections. */
export interface ListeningHome {
  readonly process: FakeProcess;
  readonly handler: HomeCallHandler;
}

const HOP_MS = 1;

function replyText({ result, signals }: HomeReply): string {
  const reason = 'reason' in result ? ` ${result.reason}` : '';
  const { threshold, load, tokensReturned } = signals;
  const shown = `threshold ${threshold.toFixed(2)} load ${load.toFixed(1)} tokens ${tokensReturned}`;
  return `${result.outcome}${reason} ${shown}`;
}

/** Simulated connections between daemons, with injectable faults. */
export class FakeNetwork {
  readonly homes = new Map<string, ListeningHome>();

  /** Replies are lost and their connections are closed. */
  dropsReplies = false;

  /** Additional delay of replies. */
  replyDelayMs = 0;

  /** Requests and replies are delivered twice. */
  duplicatesMessages = false;

  /** Called when a home sends a reply. */
  onReply: (reply: HomeReply) => void = () => undefined;

  /** Errors thrown by homes; each one is a violated invariant. */
  readonly errors: unknown[] = [];

  /** Called for each message between daemons. */
  onMessage: (text: string) => void = () => undefined;

  private readonly openConnections = new Set<() => void>();

  constructor(private readonly scheduler: VirtualScheduler) {}

  /** Closes every connection on both ends. */
  resetAll(): void {
    for (const reset of [...this.openConnections]) reset();
  }

  clientOf(entry: FakeProcess): HomeClient {
    return {
      send: async (home, call, cancellation) =>
        new Promise((resolve) => {
          this.connect(entry, home, call, cancellation, resolve);
        }),
    };
  }

  private connect(
    entry: FakeProcess,
    home: Member,
    call: PeerCall,
    cancellation: Cancellation,
    resolve: (result: SendResult) => void,
  ): void {
    const listening = this.homes.get(home.id.name);
    const deliver = (result: SendResult): void => entry.run(() => resolve(result));
    if (listening === undefined || listening.process.isKilled) {
      this.scheduler.after(HOP_MS, () => deliver({ kind: 'connect-failed' }));
      return;
    }
    const path = `${entry.name} -> ${home.id.name}`;
    const { callId, tokens, attempt, rank } = call;
    this.onMessage(`${path} call ${callId} rank ${rank} tokens ${tokens} attempt ${attempt}`);
    const homeCancellation = new Cancellation();
    let isOpen = true;
    const close = (): void => {
      if (!isOpen) return;
      isOpen = false;
      this.openConnections.delete(close);
      this.onMessage(`${path} closed ${callId}`);
      deliver({ kind: 'lost' });
      this.scheduler.after(HOP_MS, () =>
        listening.process.run(() => homeCancellation.cancel('caller-gone')),
      );
    };
    this.openConnections.add(close);
    cancellation.onCancel(close);
    entry.whenKilled(close);
    listening.process.whenKilled(close);
    const sendReply = (reply: HomeReply): void => {
      this.onMessage(`${home.id.name} -> ${entry.name} reply ${callId} ${replyText(reply)}`);
      this.onReply(reply);
      if (this.dropsReplies) close();
      this.scheduler.after(HOP_MS + this.replyDelayMs, () => {
        if (!isOpen) return;
        deliver(reply);
        if (this.duplicatesMessages) deliver(reply);
        isOpen = false;
        this.openConnections.delete(close);
      });
    };
    const deliverRequest = (): void => {
      if (!isOpen) return;
      const { process, handler } = listening;
      process.run(() => {
        handler.handle(call, homeCancellation).then(
          (reply) => process.run(() => sendReply(reply)),
          (error: unknown) => this.errors.push(error),
        );
      });
    };
    this.scheduler.after(HOP_MS, deliverRequest);
    if (this.duplicatesMessages) this.scheduler.after(HOP_MS, deliverRequest);
  }
}
