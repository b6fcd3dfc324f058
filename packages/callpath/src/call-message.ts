import type { Ticket } from '@daisyferry/execution/ticket';
import type { CallClassRank } from '@daisyferry/model/call-class';
import type { Member } from '@daisyferry/model/member';
import type { Outcome, Refusal, UnknownOutcome } from '@daisyferry/model/outcome';
import type { Readable } from 'node:stream';
import type { Cancellation } from './cancellation';

export type HeaderPair = readonly [name: string, value: string];

/** Body of a request or response. A buffered body can be sent again; a stream is read once. */
export type CallBody =
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  | {
      readonly kind: 'stream';
      readonly stream: Readable;
      /** Declared length, where the sender declared one. */
      readonly lengthBytes: number | undefined;
    };

/** The part of a request that reaches the target unchanged. */
export interface CallContent {
  readonly httpMethod: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  readonly body: CallBody;
}

/** A call as one daemon sends it to the home daemon that is to run it. */
export interface PeerCall {
  readonly service: string;
  readonly content: CallContent;
  readonly rootId: string;
  /** Unique for each attempt. */
  readonly callId: string;
  /** The call that made this one, for nested calls. */
  readonly parentCallId: string | undefined;
  /** Rank inherited along the path; the home applies its own rule's class on top. */
  readonly rank: CallClassRank;
  /** Retry tokens granted to the callee. */
  readonly tokens: number;
  /** Number of this attempt, from 1. */
  readonly attempt: number;
  /** Remaining budget when the message is sent, in ms. */
  readonly remainingMs: number;
  readonly ticket: Ticket | undefined;
}

/** A response of the target that is passed on. */
export interface TargetResponse {
  readonly outcome: typeof Outcome.completed | typeof Outcome.failed;
  readonly statusCode: number;
  readonly headers: readonly HeaderPair[];
  readonly body: CallBody;
}

/** How a call ended at its home or at the entry. */
export type CallResult = TargetResponse | Refusal | UnknownOutcome;

/** Signals that a home daemon adds to every result. */
export interface HomeSignals {
  /** Retry tokens that the callee did not use. */
  readonly tokensReturned: number;
  /** Threshold that the home publishes for the method, downstream hops included. */
  readonly threshold: number;
  /** Calls in flight and queued at the home, relative to its concurrency limit. */
  readonly load: number;
}

export interface HomeReply {
  readonly kind: 'replied';
  readonly result: CallResult;
  readonly signals: HomeSignals;
}

/** Result of sending a call to a home daemon, as the sender sees it. */
export type SendResult =
  | HomeReply
  /** The connection failed: the home has not received the call. */
  | { readonly kind: 'connect-failed' }
  /** The connection ended without a complete reply: the home may have received the call. */
  | { readonly kind: 'lost' };

/** Sends calls to home daemons; calls to the daemon's own home stay within the process. */
export interface HomeClient {
  /** Resolves in every case. Cancelling closes the connection and resolves with `lost`. */
  send(home: Member, call: PeerCall, cancellation: Cancellation): Promise<SendResult>;
}

/** A call as it is handed over to the target, with the values of its headers. */
export interface HandOverRequest {
  readonly content: CallContent;
  readonly callId: string;
  readonly rootId: string;
  readonly className: string;
  readonly attempt: number;
  readonly remainingMs: number;
}

export type HandOverResult =
  | {
      readonly kind: 'response';
      readonly statusCode: number;
      readonly headers: readonly HeaderPair[];
      readonly body: CallBody;
      /** Resolves once the response has been received completely or was truncated. */
      readonly ended: Promise<'complete' | 'truncated'>;
    }
  /** The connection to the target failed: it has not received the call. */
  | { readonly kind: 'not-sent' }
  /** The target received the call, or part of it, and sent no complete response. */
  | { readonly kind: 'lost' };

/** Hands calls over to the target beside the daemon. */
export interface TargetClient {
  /** Resolves in every case. Cancelling closes the connection and resolves with `lost`. */
  handOver(call: HandOverRequest, cancellation: Cancellation): Promise<HandOverResult>;
}
