import { appendFileSync, readFileSync } from 'node:fs';
import { monitorEventLoopDelay, type IntervalHistogram } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'undici';
import { Caller, type CallerPort } from './caller';
import { exchangeOnce } from './exchange';
import { planArrivals, type Arrival, type LoadPlan } from './load-plan';
import { seededRandom, streamSeed } from './random';
import type { RequestRecord } from './records';
import { wallClockMs } from './wall-clock';

const NANOSECONDS_PER_MS = 1_000_000;
/** The measured delays hold this sampling interval, which is taken off again. */
const DELAY_RESOLUTION_MS = 2;
const PROGRESS_INTERVAL_MS = 1_000;

/** Line on standard output each second. */
export interface LoadProgress {
  readonly progress: {
    readonly offered: number;
    readonly completed: number;
    readonly ended: number;
  };
}

/** Last line on standard output. */
export interface LoadDone {
  readonly done: {
    readonly offered: number;
    /** How far the generator itself lagged; a large value makes the run's latencies doubtful. */
    readonly eventLoopDelayP99Ms: number;
    readonly eventLoopDelayMaxMs: number;
  };
}

function print(line: LoadProgress | LoadDone): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

class LoadGenerator {
  private readonly agent = new Agent({ connections: null, pipelining: 1 });

  private readonly records: RequestRecord[] = [];

  private offered = 0;

  private completed = 0;

  constructor(private readonly plan: LoadPlan) {}

  async run(delay: IntervalHistogram): Promise<void> {
    const progress = setInterval(() => this.printProgress(), PROGRESS_INTERVAL_MS);
    await Promise.all(await this.startAll());
    clearInterval(progress);
    this.writeRecords();
    print({
      done: {
        offered: this.offered,
        eventLoopDelayP99Ms: delay.percentile(99) / NANOSECONDS_PER_MS - DELAY_RESOLUTION_MS,
        eventLoopDelayMaxMs: delay.max / NANOSECONDS_PER_MS - DELAY_RESOLUTION_MS,
      },
    });
    await this.agent.destroy();
  }

  private async startAll(): Promise<Promise<void>[]> {
    const running: Promise<void>[] = [];
    for (const arrival of planArrivals(this.plan)) {
      const waitMs = this.plan.startAtMs + arrival.atMs - wallClockMs();
      if (waitMs > 1) await sleep(waitMs);
      running.push(this.serve(arrival));
    }
    return running;
  }

  private async serve(arrival: Arrival): Promise<void> {
    this.offered += 1;
    const intendedMs = this.plan.startAtMs + arrival.atMs;
    const caller = new Caller(arrival.request, arrival.kind, intendedMs, this.port(arrival));
    const record = await caller.run();
    if (record.completed) this.completed += 1;
    this.records.push(record);
  }

  private port(arrival: Arrival): CallerPort {
    const random = seededRandom(streamSeed(this.plan.seed, arrival.request));
    return {
      nowMs: wallClockMs,
      sleep: async (timeMs) => sleep(timeMs),
      send: (exchange) => exchangeOnce(exchange, this.agent),
      entryUrl: (service) => {
        const urls = this.plan.entries[service] ?? [];
        return urls[Math.floor(random() * urls.length)] ?? '';
      },
      random,
    };
  }

  private printProgress(): void {
    const { offered, completed, records } = this;
    print({ progress: { offered, completed, ended: records.length } });
  }

  private writeRecords(): void {
    const lines = this.records.map((record) => `${JSON.stringify(record)}\n`);
    appendFileSync(this.plan.resultsFile, lines.join(''));
  }
}

/** Runs the load generator process: offers the planned load, writes its records and ends. */
export async function runLoadGenerator(planFile: string): Promise<void> {
  const plan = JSON.parse(readFileSync(planFile, 'utf8')) as LoadPlan;
  const delay = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
  delay.enable();
  await new LoadGenerator(plan).run(delay);
  process.exit(0);
}
