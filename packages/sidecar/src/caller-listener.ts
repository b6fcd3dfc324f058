import { connectionToClose } from '@daisyferry/mesh/connection-choice';
import type { MemoryHolder } from '@daisyferry/mesh/memory-reclaim';
import { listen } from '@daisyferry/peering/listen';
import { createServer, type Server, type Socket } from 'node:net';
import { CallerConnection } from './caller-connection';
import type { CallerConnectionHost, CallerListenerParts } from './caller-listener-parts';
import { CutReason } from './cut-requests';
import type { SocketAddress } from './daemon-environment';

/** Time between two checks for idle and slow connections. */
const SWEEP_INTERVAL_MS = 500;

/** Accepts the connections of callers on this instance. */
export class CallerListener implements CallerConnectionHost<CallerConnection> {
  /** True while the daemon stops: responses close their connections, so that callers move on. */
  isClosing = false;

  /** Connections that were accepted since the start. */
  acceptedCount = 0;

  /** Connections that were closed, old or new ones, as there were too many. */
  closedForLimitCount = 0;

  private readonly connections = new Set<CallerConnection>();

  private readonly server: Server;

  private readonly timer: NodeJS.Timeout;

  constructor(readonly parts: CallerListenerParts) {
    this.server = createServer((socket) => this.accept(socket));
    this.timer = setInterval(() => {
      const nowMs = parts.clock();
      for (const connection of this.connections) connection.checkTimeouts(nowMs);
    }, SWEEP_INTERVAL_MS);
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /** True while a response of a connection is not sent whole. */
  get hasUnsentBytes(): boolean {
    for (const connection of this.connections) if (connection.hasUnsentBytes) return true;
    return false;
  }

  /** Connections on which a request is not answered, also one that has partly arrived. */
  get unansweredCount(): number {
    return [...this.connections].filter(({ hasUnanswered }) => hasUnanswered).length;
  }

  /** Connections that have ended here, and whose callers may still wait for a response. */
  readAfterEndCount(nowMs: number): number {
    return [...this.connections].filter((each) => each.isReadAfterEnd(nowMs)).length;
  }

  listen({ ip, port }: SocketAddress): Promise<void> {
    return listen(this.server, { host: ip, port, backlog: 1_024 }, (error) =>
      this.parts.failures.report('accept', error, { input: 'callers' }),
    );
  }

  remove(connection: CallerConnection): void {
    this.connections.delete(connection);
  }

  /** The connections, for the choice of those that give memory back. */
  get memoryHolders(): Iterable<MemoryHolder> {
    return this.connections;
  }

  /** Ends the connections that are idle between two requests. */
  endIdle(): void {
    for (const connection of this.connections) connection.endIfIdle();
  }

  /** Refuses the requests that have partly arrived. */
  refuseArriving(): void {
    for (const connection of this.connections) connection.refuseArriving();
  }

  /** Stops accepting connections; open ones are kept. */
  stopListening(): void {
    if (this.server.listening) this.server.close();
  }

  /** Closes all connections, as the daemon exits. */
  closeConnections(): void {
    for (const connection of this.connections) connection.close();
  }

  close(): void {
    clearInterval(this.timer);
    this.stopListening();
  }

  /** Where there are too many connections, one without use gives way, or else the new one. */
  private accept(socket: Socket): void {
    this.acceptedCount += 1;
    const { maxConnections = Number.POSITIVE_INFINITY } = this.parts;
    if (this.connections.size >= maxConnections) {
      this.closedForLimitCount += 1;
      const nowMs = this.parts.clock();
      const other = connectionToClose(this.connections, ({ use }) => use, nowMs);
      if (other === undefined) {
        socket.on('error', () => undefined);
        socket.destroy();
        return;
      }
      other.close(CutReason.connectionLimit);
      this.connections.delete(other);
    }
    this.connections.add(new CallerConnection(socket, this));
  }
}
