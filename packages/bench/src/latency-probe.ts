import { Header } from '@daisyferry/model/headers';
import { readFileSync, writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { seededRandom } from './random';
import { BenchHeader } from './records';
import { wallClockMs } from './wall-clock';

/** Configuration of the latency probe process, read from a JSON file. */
export interface LatencyProbePlan {
  readonly seed: number;
  readonly directUrl: string;
  readonly throughUrl: string;
  /** Duration of the load before the measurement, at the highest rate. */
  readonly warmUpMs: number;
  readonly rates: readonly { readonly callsPerSecond: number; readonly durationMs: number }[];
  readonly resultsFile: string;
}

/** Times in ms of the same call made directly and through the daemons. */
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

  async measureAllRates(): Promise<readonly LatencyProbeResult[]> {
    const results: LatencyProbeResult[] = [];
    const maxCallsPerSecond = Math.max(
      ...this.plan.rates.map(({ callsPerSecond }) => callsPerSecond),
    );
    await this.measureRate(maxCallsPerSecond, this.plan.warmUpMs);
    for (const { callsPerSecond, durationMs } of this.plan.rates) {
      results.push(await this.measureRate(callsPerSecond, durationMs));
    }
    await this.agent.close();
    return results;
  }

  private async measureRate(
    callsPerSecond: number,
    durationMs: number,
  ): Promise<LatencyProbeResult> {
    const fromMs = wallClockMs();
    const intervalMs = 1_000 / callsPerSecond;
    const count = Math.floor(durationMs / intervalMs);
    const pendingPairs: Promise<LatencyPair | undefined>[] = [];
    for (let index = 0; index < count; index += 1) {
      const waitMs = fromMs + index * intervalMs - wallClockMs();
      if (waitMs > 0) await sleep(waitMs);
      pendingPairs.push(this.measurePair(intervalMs / 2));
    }
    const pairs = (await Promise.all(pendingPairs)).filter((pair) => pair !== undefined);
    const toMs = wallClockMs();
    return { callsPerSecond, fromMs, toMs, pairs, failures: count - pairs.length };
  }

  /**
   * Makes the call directly and through the daemons, half an interval apart and in random order.
   */
  private async measurePair(gapMs: number): Promise<LatencyPair | undefined> {
    const { directUrl, throughUrl } = this.plan;
    const isDirectFirst = this.random() < 0.5;
    const first = this.measureCallMs(isDirectFirst ? directUrl : throughUrl);
    await sleep(gapMs);
    const second = this.measureCallMs(isDirectFirst ? throughUrl : directUrl);
    const [firstMs, secondMs] = await Promise.all([first, second]);
    if (firstMs === undefined || secondMs === undefined) return undefined;
    return isDirectFirst
      ? { directMs: firstMs, throughMs: secondMs }
      : { directMs: secondMs, throughMs: firstMs };
  }

  private async measureCallMs(url: string): Promise<number | undefined> {
    const startedMs = wallClockMs();
    try {
      const response = await request(url, {
        headers: {
          [BenchHeader.request]: 'latency',
          [BenchHeader.callKey]: 'latency',
          [Header.deadlineMs]: '1000',
        },
        dispatcher: this.agent,
      });
      await response.body.arrayBuffer();
      return response.statusCode === 200 ? wallClockMs() - startedMs : undefined;
    } catch {
      return undefined;
    }
  }
}

/** Entry point of the latency probe process; writes its results to a file. */
export async function runLatencyProbe(planFile: string): Promise<void> {
  const plan = JSON.parse(readFileSync(planFile, 'utf8')) as LatencyProbePlan;
  const results = await new LatencyProbe(plan).measureAllRates();
  writeFileSync(plan.resultsFile, JSON.stringify(results));
}
