import { Header } from '@daisyferry/model/headers';
import { readFileSync, writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { seededRandom } from './random';
import { BenchHeader } from './records';
import { wallClockMs } from './wall-clock';

/** Settings of the latency probe process, read from a JSON file. */
export interface LatencyProbePlan {
  readonly seed: number;
  readonly directUrl: string;
  readonly throughUrl: string;
  /** Load before the measurement, at the greatest rate. */
  readonly warmUpMs: number;
  readonly rates: readonly { readonly callsPerSecond: number; readonly durationMs: number }[];
  readonly resultsFile: string;
}

/** Times in ms of one call made both ways. */
export interface LatencyPair {
  readonly directMs: number;
  readonly throughMs: number;
}

export interface LatencyProbeResult {
  readonly callsPerSecond: number;
  /** Wall-clock span of the measurement. */
  readonly fromMs: number;
  readonly toMs: number;
  readonly pairs: readonly LatencyPair[];
  readonly failures: number;
}

class LatencyProbe {
  private readonly agent = new Agent({ connections: null, pipelining: 1 });

  private readonly random;

  constructor(private readonly plan: LatencyProbePlan) {
    this.random = seededRandom(plan.seed);
  }

  async run(): Promise<readonly LatencyProbeResult[]> {
    const results: LatencyProbeResult[] = [];
    const greatest = Math.max(...this.plan.rates.map(({ callsPerSecond }) => callsPerSecond));
    await this.measure(greatest, this.plan.warmUpMs);
    for (const { callsPerSecond, durationMs } of this.plan.rates) {
      results.push(await this.measure(callsPerSecond, durationMs));
    }
    await this.agent.close();
    return results;
  }

  private async measure(callsPerSecond: number, durationMs: number): Promise<LatencyProbeResult> {
    const fromMs = wallClockMs();
    const intervalMs = 1_000 / callsPerSecond;
    const count = Math.floor(durationMs / intervalMs);
    const running: Promise<LatencyPair | undefined>[] = [];
    for (let index = 0; index < count; index += 1) {
      const waitMs = fromMs + index * intervalMs - wallClockMs();
      if (waitMs > 0) await sleep(waitMs);
      running.push(this.pair(intervalMs / 2));
    }
    const pairs = (await Promise.all(running)).filter((pair) => pair !== undefined);
    const toMs = wallClockMs();
    return { callsPerSecond, fromMs, toMs, pairs, failures: count - pairs.length };
  }

  /** Makes the call both ways, half an interval apart and in random order. */
  private async pair(gapMs: number): Promise<LatencyPair | undefined> {
    const { directUrl, throughUrl } = this.plan;
    const directFirst = this.random() < 0.5;
    const first = this.timed(directFirst ? directUrl : throughUrl);
    await sleep(gapMs);
    const second = this.timed(directFirst ? throughUrl : directUrl);
    const [firstMs, secondMs] = await Promise.all([first, second]);
    if (firstMs === undefined || secondMs === undefined) return undefined;
    return directFirst
      ? { directMs: firstMs, throughMs: secondMs }
      : { directMs: secondMs, throughMs: firstMs };
  }

  private async timed(url: string): Promise<number | undefined> {
    const startedMs = wallClockMs();
    try {
      const answer = await request(url, {
        headers: {
          [BenchHeader.request]: 'latency',
          [BenchHeader.callKey]: 'latency',
          [Header.deadlineMs]: '1000',
        },
        dispatcher: this.agent,
      });
      await answer.body.arrayBuffer();
      return answer.statusCode === 200 ? wallClockMs() - startedMs : undefined;
    } catch {
      return undefined;
    }
  }
}

/** Runs the latency probe process and writes its results. */
export async function runLatencyProbe(planFile: string): Promise<void> {
  const plan = JSON.parse(readFileSync(planFile, 'utf8')) as LatencyProbePlan;
  const results = await new LatencyProbe(plan).run();
  writeFileSync(plan.resultsFile, JSON.stringify(results));
}
