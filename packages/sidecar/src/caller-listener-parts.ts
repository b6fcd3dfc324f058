import type { RequestMessage } from '@daisyferry/http1/message';
import type { RequestLimits } from '@daisyferry/http1/request-reader';
import type { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { CutRequest } from './cut-requests';
import type { CancellableRequest, Respond } from './entry';
import type { FailureReport } from './failure-report';
import type { PipelineCounts } from './pipeline-counts';

export interface ListenerLimits extends RequestLimits {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface CallerListenerParts {
  /** Passes on a request that was read at `readMs`; its deadlines count from there. */
  readonly handle: (
    request: RequestMessage,
    respond: Respond,
    readMs: number,
  ) => CancellableRequest | undefined;
  /**
   * True if the request may run beside others of its connection, before those ahead of it are
   * answered. Requests run one after the other if this is missing.
   */
  readonly mayRunAhead?: (request: RequestMessage) => boolean;
  readonly pipelineCounts?: PipelineCounts;
  readonly limits: () => ListenerLimits;
  /** Name of the field with the id of a request, which responses of the daemon's own repeat. */
  readonly requestIdField?: string;
  /** Connections that are kept open at the same time; undefined for any number. */
  readonly maxConnections?: number;
  /** Bounds the requests that are held, and the responses not yet read. */
  readonly bufferBudget: BufferBudget;
  readonly onProblem: (detail: string) => void;
  readonly failures: Pick<FailureReport, 'report'>;
  /** Called when a response of so many bytes is replaced, as there is no memory to hold it. */
  readonly onResponseWithoutMemory?: (bytes: number) => void;
  /** Called when a response is dropped, as its request was answered before. */
  readonly onSurplusResponse: (status: number) => void;
  /** Called for each request that was read whole and whose connection ends without its response. */
  readonly onCut?: (cut: CutRequest) => void;
  readonly clock: () => number;
}

/** The part of the listener that its connections use. */
export interface CallerConnectionHost<Connection> {
  readonly parts: CallerListenerParts;
  /** True while the daemon stops: responses close their connections, so that callers move on. */
  readonly isClosing: boolean;
  remove(connection: Connection): void;
}
