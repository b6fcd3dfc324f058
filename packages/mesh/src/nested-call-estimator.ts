import { RecentlyUsedMap } from './recently-used-map';

/** Calls on one route that one run of another route makes. */
export interface NestedCalls {
  readonly route: string;
  readonly service: string;
  /** Mean number of calls for each run. */
  readonly calls: number;
}

/** Maximum number of routes that are told apart at one target; the least used one is replaced. */
const MAX_ROUTES = 12;
/** Maximum number of routes that the target calls; the least recently called one is replaced. */
const MAX_CALLED_ROUTES = 16;
/** Length of an observation; shorter than most runs, so that their mix differs between two. */
const BIN_MS = 50;
/** Gap after which the observation begins anew, as the process may have been paused. */
const MAX_BIN_MS = 1_000;
/** Time constant with which observations are forgotten: what a run needs changes with releases. */
const MEMORY_MS = 20_000;
/** Time between two solutions. */
const SOLUTION_INTERVAL_MS = 500;
/** Observations, weighted by their age, without which nothing is concluded. */
const MIN_OBSERVATIONS = 10;
/** Factor by which a route must improve the fit beyond chance to count as making calls. */
const SIGNIFICANCE = 8;
/** Fewer calls for each run are reported as none. */
const MIN_CALLS = 0.05;
const MAX_CALLS = 64;
/** Weight of the newest run in the share of runs that fail. */
const OUTCOME_WEIGHT = 0.05;
/** Share of failures from which nothing is learnt: a run that fails makes part of its calls. */
const MAX_FAILED_SHARE = 0.1;
/** Rounds of the coordinate descent, which converges quickly as the routes are few. */
const DESCENT_ROUNDS = 30;

/** Sums of the weighted squares and products of the observations of one called route. */
interface CalledRoute {
  readonly route: string;
  readonly service: string;
  callsInBin: number;
  observations: number;
  callsSquared: number;
  /** Products of the runs of each two routes, by their slots. */
  readonly runProducts: Float64Array;
  /** Products of the runs of each route and the calls. */
  readonly callProducts: Float64Array;
}

interface LocalRoute {
  readonly route: string;
  running: number;
  runMsInBin: number;
  /** Ended runs and their times, both decayed with age. */
  ended: number;
  endedMs: number;
}

interface Fit {
  readonly coefficients: Float64Array;
  readonly squaredError: number;
}

/**
 * Estimates how many calls a run of each route makes at one target that runs several routes at once.
 * Load that it answers: nested calls that carry no mark of the run that makes them, of which one
 * route makes four and another, with a tenth of the runs, none. Each short interval gives one
 * equation: the calls in it are the sum over the routes of their running requests times a rate. The
 * rates are a non-negative least-squares solution in which a route has a part only if that improves
 * the fit by more than chance.
 */
export class NestedCallEstimator {
  private routes: (LocalRoute | undefined)[] = [];

  private readonly slots = new Map<string, number>();

  private readonly called = new RecentlyUsedMap<string, CalledRoute>(MAX_CALLED_ROUTES);

  private binStartMs: number | undefined;

  private countedUntilMs = 0;

  private failedShare = 0;

  private nextSolutionMs = 0;

  private solution = new Map<string, readonly NestedCalls[]>();

  recordStart(route: string, nowMs: number): void {
    this.advance(nowMs);
    const local = this.localRoute(route);
    if (local !== undefined) local.running += 1;
  }

  recordEnd(route: string, durationMs: number, isFailure: boolean, nowMs: number): void {
    this.advance(nowMs);
    this.failedShare += ((isFailure ? 1 : 0) - this.failedShare) * OUTCOME_WEIGHT;
    const slot = this.slots.get(route);
    const local = slot === undefined ? undefined : this.routes[slot];
    if (local === undefined) return;
    local.running = Math.max(0, local.running - 1);
    if (this.failedShare > MAX_FAILED_SHARE) return;
    local.ended += 1;
    local.endedMs += durationMs;
  }

  /** Records a call that the target makes. */
  recordCall(route: string, service: string, nowMs: number): void {
    this.advance(nowMs);
    const called = this.called.use(`${route} ${service}`, () => ({
      route,
      service,
      callsInBin: 0,
      observations: 0,
      callsSquared: 0,
      runProducts: new Float64Array(MAX_ROUTES * MAX_ROUTES),
      callProducts: new Float64Array(MAX_ROUTES),
    }));
    called.callsInBin += 1;
  }

  /** Calls that a run of the route makes; undefined until enough of its runs were observed. */
  callsOf(route: string, nowMs: number): readonly NestedCalls[] | undefined {
    this.advance(nowMs);
    if (nowMs >= this.nextSolutionMs) this.solve(nowMs);
    return this.solution.get(route);
  }

  /** Drops everything, as another target runs other code. */
  clear(): void {
    this.routes = [];
    this.slots.clear();
    this.called.clear();
    this.solution.clear();
    this.binStartMs = undefined;
    this.nextSolutionMs = 0;
  }

  private localRoute(route: string): LocalRoute | undefined {
    const present = this.slots.get(route);
    if (present !== undefined) return this.routes[present];
    const slot = this.routes.length < MAX_ROUTES ? this.routes.length : this.leastUsedSlot();
    if (slot === undefined) return undefined;
    const replaced = this.routes[slot];
    if (replaced !== undefined) {
      this.slots.delete(replaced.route);
      this.clearSlot(slot);
    }
    const local = { route, running: 0, runMsInBin: 0, ended: 0, endedMs: 0 };
    this.routes[slot] = local;
    this.slots.set(route, slot);
    return local;
  }

  private leastUsedSlot(): number | undefined {
    let least: number | undefined;
    this.routes.forEach((local, slot) => {
      if (local === undefined || local.running > 0) return;
      if (least === undefined || local.ended < (this.routes[least]?.ended ?? 0)) least = slot;
    });
    return least;
  }

  private clearSlot(slot: number): void {
    for (const { runProducts, callProducts } of this.called.values()) {
      callProducts[slot] = 0;
      for (let other = 0; other < MAX_ROUTES; other += 1) {
        runProducts[slot * MAX_ROUTES + other] = 0;
        runProducts[other * MAX_ROUTES + slot] = 0;
      }
    }
  }

  private advance(nowMs: number): void {
    if (this.binStartMs === undefined || nowMs - this.countedUntilMs > MAX_BIN_MS) {
      this.startBin(nowMs);
      return;
    }
    const passedMs = nowMs - this.countedUntilMs;
    if (passedMs > 0) {
      for (const local of this.routes)
        if (local !== undefined) local.runMsInBin += local.running * passedMs;
      this.countedUntilMs = nowMs;
    }
    const binMs = nowMs - this.binStartMs;
    if (binMs < BIN_MS) return;
    this.addObservation(binMs);
    this.startBin(nowMs);
  }

  private startBin(nowMs: number): void {
    this.binStartMs = nowMs;
    this.countedUntilMs = nowMs;
    for (const local of this.routes) if (local !== undefined) local.runMsInBin = 0;
    for (const called of this.called.values()) called.callsInBin = 0;
  }

  private addObservation(binMs: number): void {
    const runs = this.routes.map((local) => (local?.runMsInBin ?? 0) / binMs);
    const total = runs.reduce((sum, running) => sum + running, 0);
    if (total === 0 || this.failedShare > MAX_FAILED_SHARE) return;
    const kept = Math.exp(-binMs / MEMORY_MS);
    for (const local of this.routes) {
      if (local !== undefined) {
        local.ended *= kept;
        local.endedMs *= kept;
      }
    }
    // The variance of the number of calls grows with the number of runs that make them.
    const weight = 1 / (1 + total);
    for (const called of this.called.values()) {
      const callsPerMs = called.callsInBin / binMs;
      called.observations = called.observations * kept + 1;
      called.callsSquared = called.callsSquared * kept + weight * callsPerMs ** 2;
      for (let slot = 0; slot < runs.length; slot += 1) {
        const running = (runs[slot] ?? 0) * weight;
        called.callProducts[slot] = (called.callProducts[slot] ?? 0) * kept + running * callsPerMs;
        for (let other = 0; other < runs.length; other += 1) {
          const index = slot * MAX_ROUTES + other;
          called.runProducts[index] =
            (called.runProducts[index] ?? 0) * kept + running * (runs[other] ?? 0);
        }
      }
    }
  }

  private solve(nowMs: number): void {
    this.nextSolutionMs = nowMs + SOLUTION_INTERVAL_MS;
    const solution = new Map<string, NestedCalls[]>();
    for (const called of this.called.values()) {
      if (called.observations < MIN_OBSERVATIONS) continue;
      const coefficients = this.select(called);
      this.routes.forEach((local, slot) => {
        if (local === undefined || local.ended === 0) return;
        const meanMs = local.endedMs / local.ended;
        const calls = Math.min(MAX_CALLS, (coefficients[slot] ?? 0) * meanMs);
        const list = solution.get(local.route) ?? [];
        if (calls >= MIN_CALLS) list.push({ route: called.route, service: called.service, calls });
        solution.set(local.route, list);
      });
    }
    this.solution = solution;
  }

  /** Adds the routes one by one, the one that explains most of the calls first. */
  private select(called: CalledRoute): Float64Array {
    const selected: number[] = [];
    let best: Fit = {
      coefficients: new Float64Array(MAX_ROUTES),
      squaredError: called.callsSquared,
    };
    while (selected.length < this.routes.length) {
      let next: { readonly slot: number; readonly fit: Fit } | undefined;
      for (let slot = 0; slot < this.routes.length; slot += 1) {
        if (!selected.includes(slot) && (called.callProducts[slot] ?? 0) > 0) {
          const fit = this.fit(called, [...selected, slot]);
          if (next === undefined || fit.squaredError < next.fit.squaredError) next = { slot, fit };
        }
      }
      if (next === undefined) break;
      const gain = best.squaredError - next.fit.squaredError;
      if (gain * called.observations <= SIGNIFICANCE * next.fit.squaredError) break;
      selected.push(next.slot);
      best = next.fit;
    }
    return best.coefficients;
  }

  /** Non-negative least squares by coordinate descent over the given slots. */
  private fit({ runProducts, callProducts, callsSquared }: CalledRoute, slots: number[]): Fit {
    const coefficients = new Float64Array(MAX_ROUTES);
    for (let round = 0; round < DESCENT_ROUNDS; round += 1) {
      for (const slot of slots) {
        let rest = callProducts[slot] ?? 0;
        for (const other of slots) {
          if (other !== slot)
            rest -= (runProducts[slot * MAX_ROUTES + other] ?? 0) * (coefficients[other] ?? 0);
        }
        const square = runProducts[slot * MAX_ROUTES + slot] ?? 0;
        coefficients[slot] = square > 0 ? Math.max(0, rest / square) : 0;
      }
    }
    let explained = 0;
    for (const slot of slots) {
      const own = coefficients[slot] ?? 0;
      explained += 2 * own * (callProducts[slot] ?? 0);
      for (const other of slots)
        explained -=
          own * (runProducts[slot * MAX_ROUTES + other] ?? 0) * (coefficients[other] ?? 0);
    }
    return { coefficients, squaredError: Math.max(Number.EPSILON, callsSquared - explained) };
  }
}
