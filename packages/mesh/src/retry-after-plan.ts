import type { RandomSource } from '@daisyferry/model/scheduler';
import { maxRetryAfterMs } from './retry-after';
import { RETURN_BUCKET_MS, ReturnSchedule } from './return-schedule';
import { ServiceReturns, type ReportedUse } from './service-returns';

export interface ReturnQuestion {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time until there is room again, as far as known; 0 or less if nothing is known. */
  readonly forecastMs: number;
  /** Time until the caller gives up. */
  readonly remainingMs: number;
}

/** Services whose room is followed. */
const MAX_SERVICES = 1_024;
const UNKNOWN_FORECAST_MS = 250;
/** Part of the time that a caller honors before which it is not told to come back without hope. */
const LATE_SHARE = 0.5;

/**
 * Decides when a refused caller comes back. Load that it answers: hundreds of callers refused at the
 * same moment, who all return after the same time and are refused again. Each is told a moment of its
 * own at which there will be room: beside the requests that come by themselves, and those that were
 * told to come before. Each entry plans for its share of the service: what the service takes of its
 * requests, divided by the share of its room that the service uses.
 */
export class RetryAfterPlan {
  /** Callers that were told to come back. */
  toldCount = 0;

  /** Those of them for whom no room was foreseen within the time that they wait. */
  toldWithoutRoomCount = 0;

  private readonly services = new Map<string, ServiceReturns>();

  constructor(private readonly random: RandomSource) {}

  recordArrival(service: string, priority: number, nowMs: number): void {
    this.returnsOf(service, nowMs)?.recordArrival(priority, nowMs);
  }

  /** Records that the service has run a request; `load` is what its home reported. */
  recordTaken(service: string, load: ReportedUse | undefined, nowMs: number): void {
    this.returnsOf(service, nowMs)?.recordTaken(load, nowMs);
  }

  /** Time after which the caller should come back, within what it honors. */
  returnInMs(
    { service, priority, forecastMs, remainingMs }: ReturnQuestion,
    nowMs: number,
  ): number {
    const maxMs = Math.min(maxRetryAfterMs(remainingMs), ReturnSchedule.maxDelayMs);
    const knownMs = forecastMs > 0 ? forecastMs : UNKNOWN_FORECAST_MS;
    // If the shortage lasts longer than the caller waits, no moment is better than others.
    const earliestMs = knownMs <= maxMs ? knownMs : maxMs * LATE_SHARE;
    const last = Math.floor((nowMs + maxMs) / RETURN_BUCKET_MS);
    const first = Math.min(last, Math.ceil((nowMs + earliestMs) / RETURN_BUCKET_MS));
    const taken = this.returnsOf(service, nowMs)?.take(priority, first, last, nowMs);
    this.toldCount += 1;
    if (taken?.hasRoom !== true) this.toldWithoutRoomCount += 1;
    const momentMs = ((taken?.bucket ?? last) + this.random()) * RETURN_BUCKET_MS;
    return Math.max(0, Math.min(momentMs - nowMs, maxMs));
  }

  private returnsOf(service: string, nowMs: number): ServiceReturns | undefined {
    const present = this.services.get(service);
    if (present !== undefined || this.services.size >= MAX_SERVICES) return present;
    const created = new ServiceReturns(nowMs);
    this.services.set(service, created);
    return created;
  }
}
