import type { CallClassRank } from '@daisyferry/model/call-class';
import { AdmissionController } from '@daisyferry/admission/admission-controller';
import type { AdmissionDecision } from '@daisyferry/admission/admission-controller';
import { rootHashOf } from '@daisyferry/admission/priority';
import type { Caller } from './caller';
import type { EventLoop } from './event-loop';
import { FifoAdmission } from './fifo-admission';
import { Home } from './home';
import type { HomeAdmission } from './home-admission';
import { SimulatedCall } from './simulated-call';

/** One service of a call chain; it calls the next service after its own work. */
export interface ServiceSpec {
  readonly name: string;
  readonly homes: number;
  readonly slots: number;
  /** Duration of its own work, given the calls in progress at one target. */
  serviceMs(inProgress: number, nowMs: number): number;
}

export interface RootRequest {
  readonly id: string;
  readonly rank: CallClassRank;
  readonly deadlineAtMs: number;
}

/** How a call ended for its caller. */
export type CallResult = 'completed' | 'refused' | 'failed' | 'disconnected';

export interface ChainOptions {
  readonly loop: EventLoop;
  readonly services: readonly ServiceSpec[];
  readonly latencyMs: number;
  readonly random: () => number;
  readonly isBaseline: boolean;
  readonly disabled: ReadonlySet<string>;
  readonly limits: { queueDelayTargetMs: number; maxQueueMs: number; warmUpMs: number };
  /** Retries per hop in the baseline. */
  readonly retriesPerHop: number;
}

const METHOD = 'run';

/** A chain of services, each with several homes, simulated on one event loop. */
export class Chain {
  readonly homes: readonly (readonly Home[])[];

  /** Slot occupancy of all calls in ms. */
  occupancyMs = 0;

  /** Slot occupancy in ms by root request. */
  readonly occupancyMsByRoot = new Map<string, number>();

  private callCount = 0;

  constructor(readonly options: ChainOptions) {
    this.homes = options.services.map((spec, service) =>
      Array.from(
        { length: spec.homes },
        (_unused, index) => new Home(`${spec.name}-${index}`, service, this.admissionOf(spec)),
      ),
    );
  }

  /** Calls a service; returns a function that disconnects the caller. */
  call(
    caller: Caller,
    service: number,
    root: RootRequest,
    onEnd: (result: CallResult) => void,
    retriesLeft = this.options.isBaseline ? this.options.retriesPerHop : 1,
  ): () => void {
    const { loop, latencyMs, isBaseline } = this.options;
    const key = `${this.options.services[service]?.name ?? ''}/${METHOD}`;
    const hash = rootHashOf(root.id);
    if (!isBaseline && !caller.thresholds.admits(key, root.rank, hash, loop.nowMs)) {
      onEnd('refused');
      return () => undefined;
    }
    const home = this.pick(caller, service);
    const callId = `c${this.callCount++}`;
    caller.changeInFlight(home.name, 1);
    let isOver = false;
    let cancelRetry: (() => void) | undefined;
    const onResponse = (result: CallResult, threshold: number): void => {
      const load = home.admission.load();
      loop.after(latencyMs, () => {
        caller.recordResponse(key, home.name, { threshold, load }, loop.nowMs);
        if (isOver) return;
        isOver = true;
        caller.changeInFlight(home.name, -1);
        const mayRetry = isBaseline ? result !== 'completed' : result === 'refused';
        if (mayRetry && retriesLeft > 0 && loop.nowMs < root.deadlineAtMs) {
          cancelRetry = this.call(caller, service, root, onEnd, retriesLeft - 1);
          return;
        }
        onEnd(result);
      });
    };
    loop.after(latencyMs, () => this.offer(home, callId, root, onResponse));
    return () => {
      cancelRetry?.();
      if (isOver) return;
      isOver = true;
      caller.changeInFlight(home.name, -1);
      loop.after(latencyMs, () => this.leave(home, callId));
    };
  }

  private admissionOf(spec: ServiceSpec): HomeAdmission {
    const { isBaseline, limits, disabled, random, loop } = this.options;
    if (isBaseline) return new FifoAdmission(spec.slots);
    return new AdmissionController({ slots: spec.slots, limits, disabled, random }, loop.nowMs);
  }

  /** Picks the less loaded of two random homes. */
  private pick(caller: Caller, service: number): Home {
    const homes = this.homes[service] ?? [];
    const pickRandom = (): Home => {
      const home = homes[Math.floor(this.options.random() * homes.length)];
      if (home === undefined) throw new Error(`service ${service} has no home`);
      return home;
    };
    const [first, second] = [pickRandom(), pickRandom()];
    const slots = this.options.services[service]?.slots ?? 1;
    const loadOf = ({ name }: Home): number =>
      (caller.loads.get(name) ?? 0) * slots + (caller.inFlight.get(name) ?? 0);
    return loadOf(first) <= loadOf(second) ? first : second;
  }

  private offer(
    home: Home,
    callId: string,
    root: RootRequest,
    onEnd: SimulatedCall['onEnd'],
  ): void {
    home.calls.set(callId, new SimulatedCall(callId, root, home, onEnd));
    const { rank, deadlineAtMs } = root;
    const rootHash = rootHashOf(root.id);
    const { nowMs } = this.options.loop;
    const call = home.calls.get(callId);
    if (!this.options.isBaseline && !home.downstream.admits(METHOD, rank, rootHash, nowMs)) {
      if (call !== undefined) this.end(call, 'refused');
      return;
    }
    const request = { callId, method: METHOD, rank, rootHash, deadlineAtMs };
    this.apply(home, home.admission.offer(request, this.options.loop.nowMs));
  }

  private apply(home: Home, decisions: readonly AdmissionDecision[]): void {
    for (const { callId, kind } of decisions) {
      const call = home.calls.get(callId);
      if (call === undefined) continue;
      if (kind === 'admitted') this.run(call);
      else this.end(call, 'refused');
    }
    const wakeAtMs = home.scheduleWake();
    if (wakeAtMs === undefined) return;
    const { loop } = this.options;
    loop.at(Math.max(loop.nowMs, wakeAtMs), () => {
      if (home.consumeWake(wakeAtMs)) this.apply(home, home.admission.tick(loop.nowMs));
    });
  }

  private run(call: SimulatedCall): void {
    const { home } = call;
    const { loop, services } = this.options;
    call.start(loop.nowMs);
    const serviceMs = services[home.service]?.serviceMs(home.inProgress, loop.nowMs) ?? 0;
    loop.after(serviceMs, () => {
      if (call.state === 'ended') return;
      if (home.service + 1 < services.length) this.callNext(call);
      else this.finish(call, 'completed');
    });
  }

  private callNext(call: SimulatedCall): void {
    const { home, root } = call;
    const { loop, services } = this.options;
    const next = home.service + 1;
    const key = `${services[next]?.name ?? ''}/${METHOD}`;
    const cancelNested = this.call(home.caller, next, root, (result) => {
      const threshold = home.caller.thresholds.threshold(key, loop.nowMs);
      home.downstream.observeNested(METHOD, threshold, loop.nowMs, key);
      this.finish(call, result === 'refused' ? 'failed' : result);
    });
    Object.assign(call, { cancelNested });
  }

  /** The caller disconnected: releases its queue entry or slot and cancels its nested call. */
  private leave(home: Home, callId: string): void {
    const call = home.calls.get(callId);
    if (call === undefined || this.options.isBaseline) return;
    if (call.state === 'queued') {
      this.apply(home, home.admission.cancel(callId, this.options.loop.nowMs));
      return;
    }
    call.cancelNested();
    this.finish(call, 'disconnected');
  }

  private finish(call: SimulatedCall, result: 'completed' | 'failed' | 'disconnected'): void {
    const { home } = call;
    if (call.state === 'ended') return;
    const kind = result === 'disconnected' ? 'abandoned' : result;
    this.end(call, result);
    this.apply(home, home.admission.finish(call.id, { kind }, this.options.loop.nowMs));
  }

  private end(call: SimulatedCall, result: CallResult): void {
    const { home, root } = call;
    const { nowMs } = this.options.loop;
    const occupancyMs = call.end(nowMs);
    this.occupancyMs += occupancyMs;
    this.occupancyMsByRoot.set(root.id, (this.occupancyMsByRoot.get(root.id) ?? 0) + occupancyMs);
    call.onEnd(
      result,
      home.downstream.effectiveThreshold(METHOD, home.admission.threshold(nowMs), nowMs),
    );
  }
}
