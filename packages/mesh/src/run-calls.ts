/** Calls that one run has made, by their route. */
export class RunCalls {
  private readonly counts = new Map<string, { readonly service: string; calls: number }>();

  record(route: string, service: string): void {
    const count = this.counts.get(route);
    if (count === undefined) this.counts.set(route, { service, calls: 1 });
    else count.calls += 1;
  }

  get(route: string): { readonly service: string; readonly calls: number } | undefined {
    return this.counts.get(route);
  }

  entries(): IterableIterator<[string, { readonly service: string; readonly calls: number }]> {
    return this.counts.entries();
  }
}
