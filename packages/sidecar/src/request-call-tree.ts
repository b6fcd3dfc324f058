import type { CallReply } from '@daisyferry/mesh/forwarded-call';
import { CallRefusalReason } from '@daisyferry/mesh/forwarded-call';
import type { TreeDecision } from '@daisyferry/mesh/tree-admission';
import type { CallerRequestInput } from './caller-request';
import type { SidecarEntryParts } from './entry';

/** Shares of repeats below this are not sent with a call, to save bytes. */
const MIN_REPEAT_SHARE = 0.005;

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}

/** One request of a caller or of the local target as a part of a call tree. */
export class RequestCallTree {
  /** Probability that a run which is a repeat makes this request. */
  private inheritedShare = 0;

  constructor(
    private readonly input: CallerRequestInput,
    private readonly parts: SidecarEntryParts,
  ) {}

  /** Counts the request, when it arrives. */
  begin(nowMs: number): void {
    const { service, route, origin, classesBelow } = this.input;
    const { callTrees, retryBudget } = this.parts;
    const { isInternal } = this;
    if (origin !== undefined) {
      origin.recordNestedCall(route.name, service);
      this.inheritedShare = origin.repeatShare;
    } else if (isInternal) {
      callTrees.recordNestedCall(route.name, service, nowMs);
      this.inheritedShare = callTrees.repeatShareOfCalls(route.name, nowMs);
    }
    retryBudget.countRequest({ service, isInternal, classesBelow }, nowMs, this.inheritedShare);
  }

  /** Decides whether a root request begins; a nested call belongs to a tree that has begun. */
  decide(nowMs: number): TreeDecision {
    if (this.isInternal) return { kind: 'admitted' };
    const { requestId, route, service, classesBelow } = this.input;
    const { callTrees, treeAdmission } = this.parts;
    const needs = callTrees.toldNeeds(route.name, nowMs);
    const root = { requestId, route: route.name, service, classesBelow, needs };
    return treeAdmission.decide(root, nowMs);
  }

  /** Probability that a call is a repeat; undefined if it hardly is, as most are not. */
  repeatShare(isRetry: boolean): number | undefined {
    if (isRetry) return 1;
    return this.inheritedShare >= MIN_REPEAT_SHARE ? this.inheritedShare : undefined;
  }

  recordReply({ outcome, needs }: CallReply, nowMs: number): void {
    const { callTrees } = this.parts;
    const { route, service } = this.input;
    if (needs !== undefined) callTrees.recordToldNeeds(route.name, needs, nowMs);
    const isRefused =
      outcome.kind === 'refused' && outcome.reason === CallRefusalReason.shedByTarget;
    if (isRefused || outcome.kind === 'answered')
      callTrees.recordArrival(service, isRefused, nowMs);
  }

  /** True if another run would fail likewise, as it makes calls to a service that is short. */
  isCauseBelow(nowMs: number): boolean {
    return this.parts.callTrees.needsShortService(this.input.route.name, nowMs);
  }

  /** Takes one retry of the budget; false if none is left. */
  tryRetry(nowMs: number): boolean {
    const { service, route, classesBelow } = this.input;
    const { chooser, callTrees, treeAdmission, retryBudget } = this.parts;
    const origin = {
      service,
      isInternal: this.isInternal,
      classesBelow,
      internalShare: chooser.internalShareOf(service, nowMs),
      hasCallsBelow: callTrees.toldNeeds(route.name, nowMs).some(({ calls }) => calls > 0),
      areCallersFirst: treeAdmission.areCallersFirst(service),
    };
    return retryBudget.tryRetry(origin, nowMs);
  }

  /** Records the end of a request that ran. */
  recordEnd(isFailure: boolean, nowMs: number): void {
    const { route, arrivedMs } = this.input;
    this.parts.failureGate.recordOutcome(route.name, isFailure, nowMs);
    this.parts.treeAdmission.recordEnd(route.name, arrivedMs, isFailure, nowMs);
  }

  /** Records the response to a root request, to compare how the classes are served. */
  recordResponse(isServed: boolean, nowMs: number): void {
    if (this.isInternal) return;
    const { callTrees, classInversions, metrics, log } = this.parts;
    const { route, service, classesBelow } = this.input;
    const needs = callTrees.toldNeeds(route.name, nowMs);
    const services = [service, ...needs.map((need) => need.service)];
    classInversions.record(services, classesBelow, isServed);
    for (const inversion of classInversions.takeInversions(nowMs)) {
      metrics.countClassInversion(inversion.service);
      log.decision('class served less than a less urgent one', {
        ...inversion,
        servedShare: roundToHundredths(inversion.servedShare),
        lessUrgentServedShare: roundToHundredths(inversion.lessUrgentServedShare),
      });
    }
  }

  /** True for a call that a target makes while it processes a request. */
  get isInternal(): boolean {
    const { origin, route } = this.input;
    return origin !== undefined || this.parts.chooser.isInternal(route.name);
  }
}
