import type { CallClassRank } from '@daisyferry/model/call-class';
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro';
import { Caller } from './caller';
import { Chain } from './chain';
import type { ServiceSpec } from './chain';
import { EventLoop } from './event-loop';

export interface SurgeOptions {
  readonly isBaseline?: boolean;
  readonly disabled?: readonly string[];
  readonly seed?: number;
  readonly latencyMs?: number;
  readonly limits?: Partial<Chain['options']['limits']>;
  /** Concurrency at which the deep service saturates, if below its slots. */
  readonly saturationConcurrency?: number;
  readonly entries?: number;
  /** Mean service time of the deep service at full speed. */
  readonly deepServiceMs?: number;
  readonly deepHomes?: number;
  /** Budget of each request. */
  readonly deadlineMs?: number;
  /** Mean time that callers wait beyond the minimum. */
  readonly meanPatienceMs?: number;
  /** Minimum time that callers wait. */
  readonly minPatienceMs?: number;
  /** Slots of each target upstream of the deep service. */
  readonly upstreamSlots?: number;
  readonly surgeFactor?: number;
  readonly slowFactor?: number;
  readonly onBucket?: (report: SurgeReport, chain: Chain) => void;
}

export interface SurgeReport {
  /** Requests completed in each bucket of `BUCKET_MS`. */
  readonly completed: number[];
  readonly offered: number[];
  moneyOffered: number;
  moneyCompleted: number;
  /** Requests completed during the surge, divided by the capacity of the slow deep service. */
  goodputRatio: number;
  /** Time from the end of the surge until the goodput is normal; undefined without recovery. */
  recoveryMs: number | undefined;
  /** Share of the slot time of all services spent on requests that did not complete. */
  wastedRatio: number;
  readonly chain: Chain;
}

export const BUCKET_MS = 100;
export const SURGE_START_MS = 2_000;
export const SURGE_END_MS = 7_000;
export const RUN_END_MS = 11_000;
/** Time after the last arrival in which outstanding requests end. */
const SETTLE_MS = 6_000;
const DEEP_SLOTS = 15;
const DEEP_HOMES = 2;
const DEEP_SERVICE_MS = 20;
const NORMAL_LOAD_RATIO = 0.8;
const DEADLINE_MS = 1_000;
const MEAN_PATIENCE_MS = 400;
const MIN_PATIENCE_MS = 100;
const CALLER_RETRIES = 3;
const CALLER_RETRY_MS = 50;
const CLASS_SHARES: readonly number[] = [0.1, 0.6, 0.2, 0.1];

function sum(series: readonly number[], fromMs: number, toMs: number): number {
  const part = series.slice(fromMs / BUCKET_MS, toMs / BUCKET_MS);
  return part.reduce((total, value) => total + value, 0);
}

/** Time from the end of the surge to the first half second with 95 % of the normal goodput. */
function recoveryTimeMs(completed: readonly number[], normalPerMs: number): number | undefined {
  const spanMs = 500;
  for (let fromMs = SURGE_END_MS; fromMs + spanMs <= RUN_END_MS; fromMs += BUCKET_MS) {
    const goodput = sum(completed, fromMs, fromMs + spanMs);
    if (goodput >= 0.95 * normalPerMs * spanMs) return fromMs - SURGE_END_MS;
  }
  return undefined;
}

/** Simulates a surge while the deep service is slow; callers disconnect and retry. */
export function runSurge(options: SurgeOptions = {}): SurgeReport {
  const {
    isBaseline = false,
    latencyMs = 1,
    surgeFactor = 3,
    slowFactor = 2,
    upstreamSlots = 170,
    deepServiceMs = DEEP_SERVICE_MS,
    deepHomes = DEEP_HOMES,
    deadlineMs = DEADLINE_MS,
    meanPatienceMs = MEAN_PATIENCE_MS,
    minPatienceMs = MIN_PATIENCE_MS,
  } = options;
  const generator = xoroshiro128plus(options.seed ?? 1);
  const random = (): number => (generator.unsafeNext() + 0x8000_0000) / 0x1_0000_0000;
  const exponential = (mean: number): number => -Math.log(1 - random()) * mean;
  const loop = new EventLoop();
  const isSurge = (nowMs: number): boolean => nowMs >= SURGE_START_MS && nowMs < SURGE_END_MS;
  const jitter = (): number => 0.5 + random();
  const services: ServiceSpec[] = [
    { name: 'teller', homes: 2, slots: upstreamSlots, serviceMs: () => 4 * jitter() },
    { name: 'archive', homes: 2, slots: upstreamSlots, serviceMs: () => 6 * jitter() },
    {
      name: 'pricing',
      homes: deepHomes,
      slots: DEEP_SLOTS,
      serviceMs: (inProgress, nowMs) => {
        const slowdown = isSurge(nowMs) ? slowFactor : 1;
        const contention = Math.max(1, inProgress / (options.saturationConcurrency ?? DEEP_SLOTS));
        return deepServiceMs * slowdown * contention * jitter();
      },
    },
  ];
  const chain = new Chain({
    loop,
    services,
    latencyMs,
    random,
    isBaseline,
    disabled: new Set(options.disabled ?? []),
    limits: { queueDelayTargetMs: 20, maxQueueMs: 100, warmUpMs: 0, ...options.limits },
    retriesPerHop: 3,
  });
  const capacityPerMs =
    (deepHomes * Math.min(DEEP_SLOTS, options.saturationConcurrency ?? DEEP_SLOTS)) / deepServiceMs;
  const callers = Array.from({ length: options.entries ?? 4 }, () => new Caller());
  const buckets = RUN_END_MS / BUCKET_MS;
  const report: SurgeReport = {
    completed: new Array<number>(buckets).fill(0),
    offered: new Array<number>(buckets).fill(0),
    moneyOffered: 0,
    moneyCompleted: 0,
    goodputRatio: 0,
    recoveryMs: undefined,
    wastedRatio: 0,
    chain,
  };
  const count = (series: number[]): void => {
    const bucket = Math.floor(loop.nowMs / BUCKET_MS);
    series.splice(bucket, 1, (series[bucket] ?? 0) + 1);
  };

  const drawRank = (): CallClassRank => {
    let left = random();
    for (const rank of [0, 1, 2] as const) {
      left -= CLASS_SHARES[rank] ?? 0;
      if (left < 0) return rank;
    }
    return 3;
  };

  let usefulMs = 0;
  let roots = 0;
  const startRequest = (): void => {
    const id = `root-${options.seed ?? 1}-${roots++}`;
    const rank = drawRank();
    count(report.offered);
    if (rank === 0) report.moneyOffered++;
    const attempt = (retriesLeft: number): void => {
      const caller = callers[Math.floor(random() * callers.length)];
      if (caller === undefined) return;
      const deadlineAtMs = loop.nowMs + deadlineMs;
      let isOver = false;
      const end = (isCompleted: boolean): void => {
        if (isOver) return;
        isOver = true;
        if (isCompleted) {
          count(report.completed);
          usefulMs += chain.occupancyMsByRoot.get(id) ?? 0;
          if (rank === 0) report.moneyCompleted++;
        } else if (retriesLeft > 0) {
          loop.after(CALLER_RETRY_MS, () => attempt(retriesLeft - 1));
        }
      };
      const leave = chain.call(caller, 0, { id, rank, deadlineAtMs }, (result) =>
        end(result === 'completed'),
      );
      loop.after(Math.min(deadlineMs, minPatienceMs + exponential(meanPatienceMs)), () => {
        if (isOver) return;
        leave();
        end(false);
      });
    };
    attempt(CALLER_RETRIES);
  };
  const generateRequests = (): void => {
    if (loop.nowMs >= RUN_END_MS) return;
    startRequest();
    const ratePerMs = capacityPerMs * NORMAL_LOAD_RATIO * (isSurge(loop.nowMs) ? surgeFactor : 1);
    loop.after(exponential(1 / ratePerMs), generateRequests);
  };
  generateRequests();
  for (let atMs = BUCKET_MS; atMs <= RUN_END_MS; atMs += BUCKET_MS) {
    loop.runUntil(atMs);
    options.onBucket?.(report, chain);
  }
  loop.runUntil(RUN_END_MS + SETTLE_MS);
  const surgeMs = SURGE_END_MS - SURGE_START_MS;
  const sustainableCalls = (capacityPerMs / slowFactor) * surgeMs;
  report.goodputRatio = sum(report.completed, SURGE_START_MS, SURGE_END_MS) / sustainableCalls;
  report.wastedRatio = 1 - usefulMs / chain.occupancyMs;
  report.recoveryMs = recoveryTimeMs(report.completed, capacityPerMs * NORMAL_LOAD_RATIO);
  return report;
}
