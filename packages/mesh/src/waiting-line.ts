import type { AccountShares } from './account-shares';
import { WaitingClass, type WaitingRequest, type WaitingTerms } from './waiting-class';

/**
 * Requests that wait for room, in the order in which they start: by priority class, and within a
 * class as `WaitingClass` states. The work of an arrival grows with the classes and accounts that
 * wait, and not with the requests.
 */
export class WaitingLine<R extends WaitingRequest> {
  /** The classes in which requests wait, the most urgent first. */
  private readonly classes: WaitingClass<R>[] = [];

  private count = 0;

  constructor(private readonly shares: AccountShares | undefined) {}

  get length(): number {
    return this.count;
  }

  add(request: R): void {
    this.classOf(request.priority).add(request);
    this.count += 1;
  }

  /** Returns true if the request was still waiting. */
  remove(request: R): boolean {
    const index = this.classes.findIndex(({ priority }) => priority === request.priority);
    const waitingClass = this.classes[index];
    if (waitingClass?.remove(request) !== true) return false;
    if (waitingClass.size === 0) this.classes.splice(index, 1);
    this.count -= 1;
    return true;
  }

  /** The request that starts next, which stays in the line. */
  next(terms: WaitingTerms): R | undefined {
    return this.classes[0]?.next(terms);
  }

  /** Number of requests that are expected to start before one that arrives now. */
  countAhead(request: R, terms: WaitingTerms): number {
    const { priority } = request;
    const own = this.classes.find((other) => other.priority === priority);
    return this.countMoreUrgent(priority) + (own?.countAhead(request, terms) ?? 0);
  }

  /** Visits each request with the number of those that start before it; it may be removed. */
  visit(terms: WaitingTerms, visitor: (request: R, ahead: number) => void): void {
    let before = 0;
    for (const waitingClass of [...this.classes]) {
      const start = before;
      waitingClass.visit(terms, (request, ahead) => visitor(request, start + ahead));
      before += waitingClass.size;
    }
  }

  /** The first few requests of the next class that is less urgent than this priority. */
  firstBehind(priority: number, maxCount: number): R[] {
    return this.classes.find((other) => other.priority > priority)?.firstFew(maxCount) ?? [];
  }

  /** The request that gives way to one of this priority; undefined if none is less urgent. */
  givingWayTo(priority: number): R | undefined {
    const last = this.classes[this.classes.length - 1];
    return last !== undefined && last.priority > priority ? last.firstFew(1)[0] : undefined;
  }

  /** Number of requests in classes that are more urgent than this priority. */
  countMoreUrgent(priority: number): number {
    let count = 0;
    for (const waitingClass of this.classes) {
      if (waitingClass.priority >= priority) break;
      count += waitingClass.size;
    }
    return count;
  }

  /** Removes all requests and returns them in order. */
  takeAll(): R[] {
    const all: R[] = [];
    for (const waitingClass of this.classes.splice(0)) all.push(...waitingClass.all());
    this.count = 0;
    return all;
  }

  private classOf(priority: number): WaitingClass<R> {
    let index = 0;
    while ((this.classes[index]?.priority ?? Number.POSITIVE_INFINITY) < priority) index += 1;
    const present = this.classes[index];
    if (present?.priority === priority) return present;
    const created = new WaitingClass<R>(priority, this.shares);
    this.classes.splice(index, 0, created);
    return created;
  }
}
