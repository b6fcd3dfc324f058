import { request } from 'undici';
import type { Cluster } from './cluster';
import { sumByService, type MetricSample } from './metric-text';
import type { ProcessGroup } from './process-group';
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
  readonly cpuMsByRole: Readonly<Record<string, number>>;
}

/** Reads the metrics of all daemons each second while the load runs. */
export class MetricSampler {
  private readonly taken: TimedSample[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly cluster: Cluster,
    private readonly startAtMs: number,
    private readonly group: ProcessGroup,
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
    const shown = SHOWN_METRICS.map(({ name, title }) =>
      this.metricGroup(`${phase}: ${title}`, name),
    );
    return [...shown, this.cpuGroup(`${phase}: processor`)].filter(
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
    const cpuMsByRole = this.cpuMsByRole();
    this.taken.push({ atMs, samples: sumByService(texts), cpuMsByRole });
  }

  private cpuMsByRole(): Record<string, number> {
    const roles: Record<string, number> = {};
    for (const [name, cpuMs] of Object.entries(this.group.cpuMsByProcess())) {
      const role = this.roleOf(name);
      roles[role] = (roles[role] ?? 0) + cpuMs;
    }
    return roles;
  }

  private roleOf(process: string): string {
    const daemon = this.cluster.daemons.get(process);
    if (daemon !== undefined) return `daemons of ${daemon.plan.service}`;
    return process.startsWith('target') ? 'targets' : process;
  }

  /** Cores that the processes of each role used between two samples. */
  private cpuGroup(title: string): SeriesGroup {
    const roles = [...new Set(this.taken.flatMap(({ cpuMsByRole }) => Object.keys(cpuMsByRole)))];
    const series = roles.sort().map((role) => ({
      label: role,
      values: this.taken.map((sample, index) => {
        const before = this.taken[index - 1];
        if (before === undefined) return null;
        const usedMs = (sample.cpuMsByRole[role] ?? 0) - (before.cpuMsByRole[role] ?? 0);
        // A process that ended takes its time with it.
        return Math.max(0, usedMs) / (sample.atMs - before.atMs);
      }),
    }));
    const timesSeconds = this.taken.map(({ atMs }) => atMs / 1_000);
    return { title, unit: 'cores', timesSeconds, series };
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

  private metricGroup(title: string, metric: string): SeriesGroup {
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
