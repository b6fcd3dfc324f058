import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

/** Longest recorded duration; longer ones are recorded as this value. */
const MAX_RECORDED_US = 600_000_000;
const US_PER_MS = 1_000;
const QUANTILES = [50, 90, 99, 99.9];

/** Counters and histograms of one daemon, in the Prometheus text format. */
export class DaemonMetrics {
  readonly registry = new Registry();

  private readonly calls = new Counter({
    name: 'daisyferry_calls_total',
    help: 'Results of calls at the entry, by class, outcome and reason.',
    labelNames: ['class', 'outcome', 'reason'],
    registers: [this.registry],
  });

  private readonly malformed = new Counter({
    name: 'daisyferry_malformed_total',
    help: 'Malformed requests and messages, by listener and field.',
    labelNames: ['listener', 'field'],
    registers: [this.registry],
  });

  private readonly control = new Counter({
    name: 'daisyferry_control_bytes_total',
    help: 'Bytes of control traffic between daemons and with the store, by direction and channel.',
    labelNames: ['direction', 'channel'],
    registers: [this.registry],
  });

  private readonly durations = new Map<string, Histogram>();

  constructor() {
    const { durations } = this;
    const gauge = new Gauge({
      name: 'daisyferry_call_duration_ms',
      help: 'Time from the arrival of a call to its result, by class and quantile.',
      labelNames: ['class', 'quantile'],
      registers: [this.registry],
      collect() {
        for (const [className, histogram] of durations) {
          for (const quantile of QUANTILES) {
            const valueMs = histogram.getValueAtPercentile(quantile) / US_PER_MS;
            gauge.set({ class: className, quantile: String(quantile / 100) }, valueMs);
          }
        }
      },
    });
  }

  countCall(className: string, outcome: string, reason: string, durationMs: number): void {
    this.calls.inc({ class: className, outcome, reason });
    const durationUs = Math.min(MAX_RECORDED_US, Math.max(1, Math.round(durationMs * US_PER_MS)));
    this.histogramOf(className).recordValue(durationUs);
  }

  countMalformed(listener: string, field: string): void {
    this.malformed.inc({ listener, field });
  }

  countControlBytes(direction: 'sent' | 'received', channel: string, bytes: number): void {
    this.control.inc({ direction, channel }, bytes);
  }

  /** Adds a gauge whose value is read on every scrape. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }

  /** Adds a gauge with one value per value of the given label. */
  addLabelledGauge(
    name: string,
    help: string,
    label: string,
    read: () => ReadonlyMap<string, number>,
  ): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: () => {
        for (const [key, value] of read()) gauge.set({ [label]: key }, value);
      },
    });
  }

  private histogramOf(className: string): Histogram {
    const existing = this.durations.get(className);
    if (existing !== undefined) return existing;
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_RECORDED_US,
      numberOfSignificantValueDigits: 2,
    });
    this.durations.set(className, histogram);
    return histogram;
  }
}
