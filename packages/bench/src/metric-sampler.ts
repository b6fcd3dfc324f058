import { request } from 'undici';
import type { Cluster } from './cluster';
import { sumByService, type MetricSample } from './metric-text';
import type { ProcessGroup } from './process-group';
import type { SeriesGroup } from './report';
import { wallClockMs } from './wall-clock';
import { inBackground } from './in-background';

const SAMPLE_INTERVAL_MS = 1_000;
const REQUEST_TIMEOUT_MS = 900;

/** Metrics of the daemons that the report shows as charts. */
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

/** Samples the metrics of all running daemons every second while the load runs. */
export class MetricSampler {
  private readonly timedSamples: TimedSample[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly cluster: Cluster,
    private readonly startAtMs: number,
    private readonly group: ProcessGroup,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      inBackground(this.takeSample());
    }, SAMPLE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** One chart for each metric with samples, with a line for each service, and one of CPU time. */
  chartGroups(phase: string): readonly SeriesGroup[] {
    const metricCharts = SHOWN_METRICS.map(({ name, title }) =>
      this.metricChartGroup(`${phase}: ${title}`, name),
    );
    return [...metricCharts, this.cpuChartGroup(`${phase}: processor`)].filter(
      ({ series }) => series.length > 0,
    );
  }

  private async takeSample(): Promise<void> {
    const atMs = wallClockMs() - this.startAtMs;
    const daemons = [...this.cluster.daemons.values()].filter(({ isRunning }) => isRunning);
    const texts = await Promise.all(
      daemons.map(async ({ plan, adminUrl }) => ({
        service: plan.service,
        text: await this.readMetricsText(`${adminUrl}/metrics`),
      })),
    );
    const cpuMsByRole = this.cpuMsByRole();
    this.timedSamples.push({ atMs, samples: sumByService(texts), cpuMsByRole });
  }

  private cpuMsByRole(): Record<string, number> {
    const roles: Record<string, number> = {};
    for (const [name, cpuMs] of Object.entries(this.group.cpuMsByProcess())) {
      const role = this.roleOf(name);
      roles[role] = (roles[role] ?? 0) + cpuMs;
    }
    return roles;
  }

  private roleOf(processName: string): string {
    const daemon = this.cluster.daemons.get(processName);
    if (daemon !== undefined) return `daemons of ${daemon.plan.service}`;
    return processName.startsWith('target') ? 'targets' : processName;
  }

  /** CPU cores that the processes of each role used between two samples. */
  private cpuChartGroup(title: string): SeriesGroup {
    const roles = [
      ...new Set(this.timedSamples.flatMap(({ cpuMsByRole }) => Object.keys(cpuMsByRole))),
    ];
    const series = roles.sort().map((role) => ({
      label: role,
      values: this.timedSamples.map((sample, index) => {
        const previous = this.timedSamples[index - 1];
        if (previous === undefined) return null;
        const usedMs = (sample.cpuMsByRole[role] ?? 0) - (previous.cpuMsByRole[role] ?? 0);
        // The sum drops when a process of the role exits, as its CPU time is no longer included.
        return Math.max(0, usedMs) / (sample.atMs - previous.atMs);
      }),
    }));
    const timesSeconds = this.timedSamples.map(({ atMs }) => atMs / 1_000);
    return { title, unit: 'cores', timesSeconds, series };
  }

  private async readMetricsText(url: string): Promise<string> {
    try {
      const response = await request(url, {
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      return await response.body.text();
    } catch {
      return '';
    }
  }

  private metricChartGroup(title: string, metric: string): SeriesGroup {
    const services = new Set(
      this.timedSamples.flatMap(({ samples }) =>
        samples.filter(({ name }) => name === metric).map(({ service }) => service),
      ),
    );
    const series = [...services].sort().map((service) => ({
      label: service,
      values: this.timedSamples.map(
        ({ samples }) =>
          samples.find((sample) => sample.name === metric && sample.service === service)?.value ??
          null,
      ),
    }));
    const timesSeconds = this.timedSamples.map(({ atMs }) => atMs / 1_000);
    return { title, unit: 'calls', timesSeconds, series };
  }
}
