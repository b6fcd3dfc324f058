import type { TargetLoad } from './forwarded-call';

const MAX_CALLS = 1e6;
const MIN_TIME_MS = 0.1;
const MAX_TIME_MS = 120_000;
const MAX_LEVEL = 1_000;

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Limits the figures that another process reported to their ranges. */
export function boundedLoad(load: TargetLoad): TargetLoad {
  const { running, waiting, limit, serviceMs, level, internalShare, routeMs } = load;
  return {
    ...load,
    running: clamp(running, 0, MAX_CALLS),
    waiting: clamp(waiting, 0, MAX_CALLS),
    limit: clamp(limit, 0, MAX_CALLS),
    serviceMs: clamp(serviceMs, MIN_TIME_MS, MAX_TIME_MS),
    level: clamp(level, 0, MAX_LEVEL),
    internalShare: clamp(internalShare, 0, 1),
    routeMs: routeMs === undefined ? undefined : clamp(routeMs, MIN_TIME_MS, MAX_TIME_MS),
  };
}
