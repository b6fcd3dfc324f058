/** Length of the windows in which classes are compared. */
const WINDOW_MS = 5_000;
/** Requests of a class without which it is not compared. */
const MIN_REQUESTS = 10;
/** Difference between the served shares from which a class counts as served less. */
const MAX_DIFFERENCE = 0.05;
const MAX_SERVICES = 256;

interface ClassCount {
  requests: number;
  served: number;
}

/** A class that was served less than a less urgent one whose calls lead to the same service. */
export interface ClassInversion {
  readonly service: string;
  /** Number of priority classes in use that are less urgent than the class. */
  readonly classesBelow: number;
  readonly servedShare: number;
  /** The same of the less urgent class. */
  readonly lessUrgentClassesBelow: number;
  readonly lessUrgentServedShare: number;
}

/** Finds services at which the callers of this entry are served in another order than their urgency. */
export class ClassInversions {
  private readonly services = new Map<string, Map<number, ClassCount>>();

  private windowStartMs = Number.NEGATIVE_INFINITY;

  /** `services` are the request's own service and those that its calls lead to. */
  record(services: readonly string[], classesBelow: number, isServed: boolean): void {
    for (const service of services) {
      const classes = this.services.get(service) ?? new Map<number, ClassCount>();
      if (this.services.size < MAX_SERVICES) this.services.set(service, classes);
      const count = classes.get(classesBelow) ?? { requests: 0, served: 0 };
      count.requests += 1;
      if (isServed) count.served += 1;
      classes.set(classesBelow, count);
    }
  }

  /** Returns the inversions of the window that has ended, the greatest of each service; else none. */
  takeInversions(nowMs: number): readonly ClassInversion[] {
    if (nowMs - this.windowStartMs < WINDOW_MS) return [];
    this.windowStartMs = nowMs;
    const inversions = [...this.services].flatMap(([service, classes]) => {
      const compared = [...classes]
        .filter(([, { requests }]) => requests >= MIN_REQUESTS)
        .map(([classesBelow, { requests, served }]) => ({
          classesBelow,
          share: served / requests,
        }));
      const pairs = compared.flatMap((urgent) =>
        compared
          .filter((other) => other.classesBelow < urgent.classesBelow)
          .map((other) => ({
            service,
            classesBelow: urgent.classesBelow,
            servedShare: urgent.share,
            lessUrgentClassesBelow: other.classesBelow,
            lessUrgentServedShare: other.share,
          })),
      );
      const differenceOf = (pair: ClassInversion) => pair.lessUrgentServedShare - pair.servedShare;
      return pairs
        .filter((pair) => differenceOf(pair) > MAX_DIFFERENCE)
        .sort((left, right) => differenceOf(right) - differenceOf(left))
        .slice(0, 1);
    });
    this.services.clear();
    return inversions;
  }
}
