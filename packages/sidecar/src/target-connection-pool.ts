import type { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { ResponseFieldNames } from './classify-target-response';
import type { SocketAddress } from './daemon-environment';
import type { DiscardedResponseListener } from './discarded-response';
import type { ProbeResult } from './target-crash-detection';
import type { TargetExchangeResult } from './target-connection';
import { TargetConnection } from './target-connection';

export interface AbortableExchange {
  /** Closes the connection of the request, so that the target abandons it. */
  abort(): void;
}

/** Connection pool for the local target; reuses the most recently used connection first. */
export class TargetConnectionPool {
  private readonly idle: TargetConnection[] = [];

  private opened = 0;

  private sent = 0;

  constructor(
    private readonly address: SocketAddress,
    private readonly fieldNames: ResponseFieldNames,
    private readonly clock: () => number,
    private readonly bufferBudget: BufferBudget,
    private readonly discardedResponses: DiscardedResponseListener,
  ) {}

  /** Connections opened since the start of the daemon. */
  get openedCount(): number {
    return this.opened;
  }

  /** Requests sent since the start of the daemon, whatever came of them. */
  get sentCount(): number {
    return this.sent;
  }

  /** A request without an id (`requestId` is empty) is sent on a connection of its own. */
  send(
    requestId: string,
    isHeadRequest: boolean,
    message: readonly Buffer[],
    onResult: (result: TargetExchangeResult) => void,
  ): AbortableExchange {
    this.sent += 1;
    const idleConnection = requestId === '' ? undefined : this.takeIdle(requestId, this.clock());
    const connection = idleConnection ?? this.connect();
    connection.send(requestId, isHeadRequest, message, onResult);
    return { abort: () => connection.abort() };
  }

  /** Opens a connection, which is then idle, to learn whether the target accepts it. */
  probe(onResult: (result: ProbeResult) => void): void {
    this.connect({
      onIdle: () => onResult('accepted'),
      onClosed: (wasRefused) => onResult(wasRefused ? 'refused' : 'unclear'),
    });
  }

  /** Closes the idle connections; meant for the replacement of the target. */
  destroyIdle(): void {
    for (const connection of this.idle.splice(0)) connection.destroy();
  }

  private takeIdle(requestId: string, nowMs: number): TargetConnection | undefined {
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index] as TargetConnection;
      if (!connection.isUsable(nowMs)) {
        this.idle.splice(index, 1);
        connection.destroy();
      } else if (!connection.hasCarried(requestId)) {
        this.idle.splice(index, 1);
        return connection;
      }
    }
    return undefined;
  }

  private connect(firstEvent?: {
    onIdle(): void;
    onClosed(wasRefused: boolean): void;
  }): TargetConnection {
    let listener = firstEvent;
    this.opened += 1;
    const connection: TargetConnection = new TargetConnection(
      this.address,
      this.fieldNames,
      {
        onIdle: () => {
          this.idle.push(connection);
          listener?.onIdle();
          listener = undefined;
        },
        onClosed: (wasRefused) => {
          this.removeIdle(connection);
          listener?.onClosed(wasRefused);
          listener = undefined;
        },
        onDiscarded: (response) => this.discardedResponses.discarded(response),
      },
      this.clock,
      this.bufferBudget,
    );
    return connection;
  }

  private removeIdle(connection: TargetConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
