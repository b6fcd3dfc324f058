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

/** A home daemon that listens. */
export interface ListeningHome {
  readonly process: FakeProcess;
  readonly home: HomeCallHandler;
}

const HOP_MS = 1;

function textOf({ result, signals }: HomeReply): string {
  const reason = 'reason' in result ? ` ${result.reason}` : '';
  const { threshold, load, tokensReturned } = signals;
  const shown = `threshold ${threshold.toFixed(2)} load ${load.toFixed(1)} tokens ${tokensReturned}`;
  return `${result.outcome}${reason} ${shown}`;
}

/** The connections between daemons, with the faults that they can suffer. */
export class FakeNetwork {
  readonly homes = new Map<string, ListeningHome>();

  /** The answer on its way when the fault occurs is lost, its connection closed. */
  dropsReplies = false;

  /** Delay of answers beyond the usual. */
  replyDelayMs = 0;

  /** Requests and answers arrive twice. */
  duplicates = false;

  /** Called when a home has sent an answer. */
  onReply: (reply: HomeReply) => void = () => undefined;

  /** What homes have thrown: a broken invariant each. */
  readonly errors: unknown[] = [];

  /** Called for each message between daemons. */
  onMessage: (text: string) => void = () => undefined;

  private readonly open = new Set<() => void>();

  constructor(private readonly base: VirtualScheduler) {}

  /** Closes every connection, as both ends see it. */
  resetAll(): void {
    for (const reset of [...this.open]) reset();
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
      this.base.after(HOP_MS, () => deliver({ kind: 'connect-failed' }));
      return;
    }
    const path = `${entry.name} -> ${home.id.name}`;
    const { callId, tokens, attempt, rank } = call;
    this.onMessage(`${path} call ${callId} rank ${rank} tokens ${tokens} attempt ${attempt}`);
    const atHome = new Cancellation();
    let isOpen = true;
    const close = (): void => {
      if (!isOpen) return;
      isOpen = false;
      this.open.delete(close);
      this.onMessage(`${path} closed ${callId}`);
      deliver({ kind: 'lost' });
      this.base.after(HOP_MS, () => listening.process.run(() => atHome.cancel('caller-gone')));
    };
    this.open.add(close);
    cancellation.onCancel(close);
    entry.whenKilled(close);
    listening.process.whenKilled(close);
    const answer = (reply: HomeReply): void => {
      this.onMessage(`${home.id.name} -> ${entry.name} reply ${callId} ${textOf(reply)}`);
      this.onReply(reply);
      if (this.dropsReplies) close();
      this.base.after(HOP_MS + this.replyDelayMs, () => {
        if (!isOpen) return;
        deliver(reply);
        if (this.duplicates) deliver(reply);
        isOpen = false;
        this.open.delete(close);
      });
    };
    const arrive = (): void => {
      if (!isOpen) return;
      const { process, home: callHome } = listening;
      process.run(() => {
        callHome.handle(call, atHome).then(
          (reply) => process.run(() => answer(reply)),
          (error: unknown) => this.errors.push(error),
        );
      });
    };
    this.base.after(HOP_MS, arrive);
    if (this.duplicates) this.base.after(HOP_MS, arrive);
  }
}
