import type { SocketAddress } from './daemon-environment';
import type { ExchangeResult } from './target-connection';
import { TargetConnection } from './target-connection';

export interface RunningRequest {
  /** Breaks the exchange, so that the target drops the request. */
  abort(): void;
}

/** Connections to the target beside the daemon, the most recently used one first. */
export class TargetPool {
  private readonly idle: TargetConnection[] = [];

  private opened = 0;

  constructor(
    private readonly address: SocketAddress,
    private readonly requestIdField: string,
    private readonly clock: () => number,
  ) {}

  /** Connections opened since the start. */
  get openedCount(): number {
    return this.opened;
  }

  send(
    requestId: string,
    isHead: boolean,
    bytes: Buffer,
    done: (result: ExchangeResult) => void,
  ): RunningRequest {
    const connection = this.takeIdle(this.clock()) ?? this.connect();
    connection.send(requestId, isHead, bytes, done);
    return { abort: () => connection.abort() };
  }

  /** Drops idle connections, as the target's process has changed. */
  clear(): void {
    for (const connection of this.idle.splice(0)) connection.destroy();
  }

  private takeIdle(nowMs: number): TargetConnection | undefined {
    for (;;) {
      const connection = this.idle.pop();
      if (connection === undefined) return undefined;
      if (connection.isUsable(nowMs)) return connection;
      connection.destroy();
    }
  }

  private connect(): TargetConnection {
    this.opened += 1;
    const connection: TargetConnection = new TargetConnection(
      this.address,
      this.requestIdField,
      {
        onIdle: () => this.idle.push(connection),
        onClosed: () => this.closed(connection),
      },
      this.clock,
    );
    return connection;
  }

  private closed(connection: TargetConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
