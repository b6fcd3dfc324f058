import { request } from 'undici';
import type { Cluster } from './cluster';
import { sumByService, type MetricSample } from './metric-text';
import type { SeriesGroup } from './report';
import { wallClockMs } from './wall-clock';
import { inBackground } from './in-background';

const SAMPLE_INTERVAL_MS = 1_000;
const REQUEST_TIMEOUT_MS = 900;

/** Gauges and counters of the daemons that the report shows. */
const SHOWN_METRICS: readonly { readonly name: string; readonly title: string }[] = [
  { name: 'daisyferry_limit', title: 'concurrency limit' },
  { name: 'daisyferry_queued', title: 'admission queue' },
  { name: 'daisyferry_in_flight', title: 'calls in flight at the targets' },
];

interface TimedSample {
  readonly atMs: number;
  readonly samples: readonly MetricSample[];
}

/** Reads the metrics of all daemons each second while the load runs. */
export class MetricSampler {
  private readonly taken: TimedSample[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly cluster: Cluster,
    private readonly startAtMs: number,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      inBackground(this.sample());
    }, SAMPLE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** One chart for each shown metric that the daemons had, with a line for each service. */
  groups(phase: string): readonly SeriesGroup[] {
    return SHOWN_METRICS.map(({ name, title }) => this.group(`${phase}: ${title}`, name)).filter(
      ({ series }) => series.length > 0,
    );
  }

  private async sample(): Promise<void> {
    const atMs = wallClockMs() - this.startAtMs;
    const daemons = [...this.cluster.daemons.values()].filter(({ running }) => running);
    const texts = await Promise.all(
      daemons.map(async ({ plan, adminUrl }) => ({
        service: plan.service,
        text: await this.read(`${adminUrl}/metrics`),
      })),
    );
    this.taken.push({ atMs, samples: sumByService(texts) });
  }

  private async read(url: string): Promise<string> {
    try {
      const answer = await request(url, {
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return await answer.body.text();
    } catch {
      return '';
    }
  }

  private group(title: string, metric: string): SeriesGroup {
    const services = new Set(
      this.taken.flatMap(({ samples }) =>
        samples.filter(({ name }) => name === metric).map(({ service }) => service),
      ),
    );
    const series = [...services].sort().map((service) => ({
      label: service,
      values: this.taken.map(
        ({ samples }) =>
          samples.find((sample) => sample.name === metric && sample.service === service)?.value ??
          null,
      ),
    }));
    const timesSeconds = this.taken.map(({ atMs }) => atMs / 1_000);
    return { title, unit: 'calls', timesSeconds, series };
  }
}
