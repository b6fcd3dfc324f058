/**
 * The connections that other daemons opened to this one, by daemon. A daemon may have more than one
 * for a while, as when it also dials the address under which it knew a daemon that is gone.
 */
export class InboundConnections<Connection> {
  private readonly byDaemon = new Map<string, readonly Connection[]>();

  /** Adds a connection, or moves it behind the daemon's others. */
  add(daemonId: string, connection: Connection): void {
    this.byDaemon.set(daemonId, [...this.others(daemonId, connection), connection]);
  }

  /** Removes a connection that has ended; returns the ids of the daemons that it was from. */
  remove(connection: Connection): string[] {
    const daemonIds: string[] = [];
    for (const [daemonId, connections] of this.byDaemon) {
      if (connections.includes(connection)) {
        daemonIds.push(daemonId);
        const others = this.others(daemonId, connection);
        if (others.length > 0) this.byDaemon.set(daemonId, others);
        else this.byDaemon.delete(daemonId);
      }
    }
    return daemonIds;
  }

  has(daemonId: string): boolean {
    return this.byDaemon.has(daemonId);
  }

  /** The latest connection of each daemon. */
  *latest(): Iterable<readonly [daemonId: string, connection: Connection]> {
    for (const [daemonId, connections] of this.byDaemon) {
      const last = connections.at(-1);
      if (last !== undefined) yield [daemonId, last];
    }
  }

  private others(daemonId: string, connection: Connection): Connection[] {
    return (this.byDaemon.get(daemonId) ?? []).filter((present) => present !== connection);
  }
}
