import { appendFileSync, readFileSync } from 'node:fs';
import { monitorEventLoopDelay, type IntervalHistogram } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'undici';
import { Caller, type CallerEnvironment } from './caller';
import { sendCallerRequest } from './send-caller-request';
import { planArrivals, type Arrival, type LoadPlan } from './load-plan';
import { seededRandom, streamSeed } from './random';
import type { RequestRecord } from './records';
import { wallClockMs } from './wall-clock';

const NANOSECONDS_PER_MS = 1_000_000;
/** The measured delays include this sampling interval, which is subtracted. */
const DELAY_RESOLUTION_MS = 2;
const PROGRESS_INTERVAL_MS = 1_000;

/** Line printed on standard output every second. */
export interface LoadProgress {
  readonly progress: {
    readonly offered: number;
    readonly completed: number;
    readonly ended: number;
  };
}

/** Last line printed on standard output. */
export interface LoadDone {
  readonly done: {
    readonly offered: number;
    /**
     * Event loop delay of the generator itself; a large value makes the measured latencies
     * unreliable.
     */
    readonly eventLoopDelayP99Ms: number;
    readonly eventLoopDelayMaxMs: number;
  };
}

function printLine(line: LoadProgress | LoadDone): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

class LoadGenerator {
  private readonly agent = new Agent({ connections: null, pipelining: 1 });

  private readonly records: RequestRecord[] = [];

  private offered = 0;

  private completed = 0;

  constructor(private readonly plan: LoadPlan) {}

  async generateLoad(eventLoopDelay: IntervalHistogram): Promise<void> {
    const progressTimer = setInterval(() => this.printProgress(), PROGRESS_INTERVAL_MS);
    await Promise.all(await this.startRequests());
    clearInterval(progressTimer);
    this.writeRecords();
    printLine({
      done: {
        offered: this.offered,
        eventLoopDelayP99Ms:
          eventLoopDelay.percentile(99) / NANOSECONDS_PER_MS - DELAY_RESOLUTION_MS,
        eventLoopDelayMaxMs: eventLoopDelay.max / NANOSECONDS_PER_MS - DELAY_RESOLUTION_MS,
      },
    });
    await this.agent.destroy();
  }

  private async startRequests(): Promise<Promise<void>[]> {
    const pendingRequests: Promise<void>[] = [];
    for (const arrival of planArrivals(this.plan)) {
      const waitMs = this.plan.startAtMs + arrival.atMs - wallClockMs();
      if (waitMs > 1) await sleep(waitMs);
      pendingRequests.push(this.runCaller(arrival));
    }
    return pendingRequests;
  }

  private async runCaller(arrival: Arrival): Promise<void> {
    this.offered += 1;
    const intendedMs = this.plan.startAtMs + arrival.atMs;
    const caller = new Caller(
      arrival.request,
      arrival.kind,
      intendedMs,
      this.callerEnvironment(arrival),
    );
    const record = await caller.sendWithRetries();
    if (record.completed) this.completed += 1;
    this.records.push(record);
  }

  private callerEnvironment(arrival: Arrival): CallerEnvironment {
    const random = seededRandom(streamSeed(this.plan.seed, arrival.request));
    return {
      nowMs: wallClockMs,
      sleep: async (timeMs) => sleep(timeMs),
      send: (callerRequest) => sendCallerRequest(callerRequest, this.agent),
      entryUrl: (service) => {
        const urls = this.plan.entries[service] ?? [];
        return urls[Math.floor(random() * urls.length)] ?? '';
      },
      random,
    };
  }

  private printProgress(): void {
    const { offered, completed, records } = this;
    printLine({ progress: { offered, completed, ended: records.length } });
  }

  private writeRecords(): void {
    const lines = this.records.map((record) => `${JSON.stringify(record)}\n`);
    appendFileSync(this.plan.resultsFile, lines.join(''));
  }
}

/** Entry point of the load generator process: offers the planned load and writes its records. */
export async function runLoadGenerator(planFile: string): Promise<void> {
  const plan = JSON.parse(readFileSync(planFile, 'utf8')) as LoadPlan;
  const eventLoopDelay = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
  eventLoopDelay.enable();
  await new LoadGenerator(plan).generateLoad(eventLoopDelay);
  process.exit(0);
}
