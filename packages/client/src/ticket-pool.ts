interface PooledTicket {
  readonly ticket: string;
  readonly expiresAtMs: number;
}

/** Tickets taken ahead, by the method and path that they are for. Each is given out once. */
export class TicketPool {
  private readonly tickets = new Map<string, PooledTicket[]>();

  add(method: string, path: string, tickets: readonly string[], expiresAtMs: number): void {
    const held = this.tickets.get(TicketPool.key(method, path)) ?? [];
    for (const ticket of tickets) held.push({ ticket, expiresAtMs });
    this.tickets.set(TicketPool.key(method, path), held);
  }

  /** Takes out a ticket that lasts until the given time. */
  take(method: string, path: string, untilMs: number): string | undefined {
    const held = this.tickets.get(TicketPool.key(method, path)) ?? [];
    const usable = held.filter(({ expiresAtMs }) => expiresAtMs >= untilMs);
    const taken = usable.shift();
    this.tickets.set(TicketPool.key(method, path), usable);
    return taken?.ticket;
  }

  count(method: string, path: string): number {
    return this.tickets.get(TicketPool.key(method, path))?.length ?? 0;
  }

  /** The query of a path takes no part in the choice of a method. */
  private static key(method: string, path: string): string {
    return `${method} ${path.split('?')[0] ?? ''}`;
  }
}
