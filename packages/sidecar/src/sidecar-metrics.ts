import { RouteSeriesTable } from './route-series-table';

const QUANTILES = [50, 90, 99, 99.9];

/** Counters and latency histograms of one daemon, in the Prometheus text format. */
export class SidecarMetrics {
  private readonly counters = new Map<string, number>();

  private readonly routes = new RouteSeriesTable();

  private readonly gauges = new Map<string, () => number>();

  private readonly sources: (() => Iterable<string>)[] = [];

  /** Records a caller's request that has received its response or was cancelled. */
  recordRequest(route: string, outcome: string, durationMs: number): void {
    this.routes.record(route, outcome, durationMs);
  }

  /** Counts a call to the platform's store by its cause. */
  countStoreCall(cause: string): void {
    this.increment(`daisyferry_store_calls_total{cause="${cause}"}`);
  }

  /** Counts a request that was not attributed to a client account, by the cause. */
  countUnidentified(cause: string): void {
    this.increment(`daisyferry_requests_unidentified_total{cause="${cause}"}`);
  }

  /** Counts bytes of the local target that were not passed on as a response. */
  countDiscardedResponse(reason: string): void {
    this.increment(`daisyferry_target_responses_discarded_total{reason="${reason}"}`);
  }

  /** Counts a request that was read whole and whose connection ended without its response. */
  countCutRequest(reason: string, phase: string): void {
    this.increment(`daisyferry_requests_cut_total{reason="${reason}",phase="${phase}"}`);
  }

  /** Counts a window in which a class was served less than a less urgent one at the service. */
  countClassInversion(service: string): void {
    this.increment(`daisyferry_class_inversions_total{service=${JSON.stringify(service)}}`);
  }

  /** Counts a message of another process that could not be read, by its kind. */
  countRejectedInput(kind: string): void {
    this.increment(`daisyferry_input_rejected_total{kind="${kind}"}`);
  }

  /** Counts an error that a part of this program did not expect, by where it occurred. */
  countFailure(origin: string): void {
    this.increment(`daisyferry_failures_total{origin="${origin}"}`);
  }

  addGauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Adds lines that are read when the metrics are. */
  addLines(read: () => Iterable<string>): void {
    this.sources.push(read);
  }

  render(): string {
    const lines: string[] = this.sources.flatMap((read) => [...read()]);
    for (const [name, value] of this.counters) lines.push(`${name} ${value}`);
    for (const [name, read] of this.gauges) lines.push(`${name} ${read()}`);
    for (const [route, { outcomes, durations }] of this.routes.entries()) {
      const routeLabel = `route=${JSON.stringify(route)}`;
      for (const [outcome, count] of outcomes)
        lines.push(`daisyferry_requests_total{${routeLabel},outcome="${outcome}"} ${count}`);
      for (const quantile of QUANTILES) {
        const label = `${routeLabel},quantile="${quantile / 100}"`;
        const valueMs = durations.getValueAtPercentile(quantile);
        lines.push(`daisyferry_request_duration_ms{${label}} ${valueMs}`);
      }
    }
    return `${lines.join('\n')}\n`;
  }

  private increment(name: string): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + 1);
  }
}
