interface PooledTicket {
  readonly ticket: string;
  readonly expiresAtMs: number;
}

/** Tickets requested in advance, by method and path. Each ticket is used once. */
export class TicketPool {
  private readonly tickets = new Map<string, PooledTicket[]>();

  add(method: string, path: string, tickets: readonly string[], expiresAtMs: number): void {
    const pooledTickets = this.tickets.get(TicketPool.key(method, path)) ?? [];
    for (const ticket of tickets) pooledTickets.push({ ticket, expiresAtMs });
    this.tickets.set(TicketPool.key(method, path), pooledTickets);
  }

  /** Removes and returns a ticket that is valid until the given time. */
  consume(method: string, path: string, validUntilMs: number): string | undefined {
    const pooledTickets = this.tickets.get(TicketPool.key(method, path)) ?? [];
    const usable = pooledTickets.filter(({ expiresAtMs }) => expiresAtMs >= validUntilMs);
    const pooledTicket = usable.shift();
    this.tickets.set(TicketPool.key(method, path), usable);
    return pooledTicket?.ticket;
  }

  count(method: string, path: string): number {
    return this.tickets.get(TicketPool.key(method, path))?.length ?? 0;
  }

  /** Leaves out the query string, which has no part in matching a method. */
  private static key(method: string, path: string): string {
    return `${method} ${path.split('?')[0] ?? ''}`;
  }
}
