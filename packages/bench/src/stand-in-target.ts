import { Header, SHED_BEFORE_WORK } from '@daisyferry/model/headers';
import type { RandomSource } from '@daisyferry/model/scheduler';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { setTimeout as sleep } from 'node:timers/promises';
import { buildResponseBody } from './response-body';
import type { MethodPlan } from './deployment';
import type { NestedCaller } from './nested-caller';
import { uniformMs } from './random';
import type { RecordSink } from './record-writer';
import { BenchHeader, type ExecutionEnd, type NestedCallOutcome } from './records';
import type { ServiceTimeSampler } from './service-time-sampler';
import { SlotQueue } from './slot-queue';
import type { StandInTargetPlan } from './stand-in-target-plan';
import { wallClockMs } from './wall-clock';

/** Limit of calls waiting for a slot, as a multiple of the slots. */
const MAX_WAITING_PER_SLOT = 20;
const MIN_PADDING_BYTES = 100;
const MAX_PADDING_BYTES = 2_000;

interface IncomingCall {
  readonly plan: MethodPlan;
  readonly request: string;
  readonly callKey: string;
  readonly call: string;
  readonly contextHeader: string | undefined;
  readonly arrivedMs: number;
  readonly signal: AbortSignal;
}

interface WorkResult {
  readonly result: ExecutionEnd['result'];
  readonly nested?: NestedCallOutcome;
}

function headerText(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * Simulates a target: a limited number of slots with a queue, seeded service times, and one nested
 * call for the methods that have one. It cancels work when the caller disconnects or the deadline
 * passes.
 */
export class StandInTarget {
  readonly server: FastifyInstance;

  private readonly queue: SlotQueue;

  private executionCount = 0;

  constructor(
    private readonly plan: StandInTargetPlan,
    private readonly incarnation: string,
    private readonly random: RandomSource,
    readonly serviceTime: ServiceTimeSampler,
    private readonly nestedCaller: NestedCaller,
    private readonly records: RecordSink,
  ) {
    this.queue = new SlotQueue(plan.slots, plan.slots * MAX_WAITING_PER_SLOT);
    this.server = fastify({ forceCloseConnections: true, keepAliveTimeout: 60_000 });
    this.server.all('/*', (request, reply) => this.handleRequest(request, reply));
  }

  private async handleRequest(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const path = request.url.split('?')[0];
    const plan = this.plan.methods.find(
      (method) => method.path === path && method.httpMethod === request.method,
    );
    if (plan === undefined) return reply.code(404).send({ error: 'no such method' });
    if (this.queue.isFull) {
      return reply.code(503).header(Header.shed, SHED_BEFORE_WORK).send({ error: 'queue full' });
    }
    const callerGone = new AbortController();
    reply.raw.on('close', () => {
      if (!reply.raw.writableFinished) callerGone.abort();
    });
    return this.executeCall(this.toIncomingCall(plan, request, callerGone.signal), reply);
  }

  private toIncomingCall(
    plan: MethodPlan,
    request: FastifyRequest,
    signal: AbortSignal,
  ): IncomingCall {
    const deadlineMs = Number(headerText(request, Header.deadlineMs));
    return {
      plan,
      request: headerText(request, BenchHeader.request) ?? '',
      callKey: headerText(request, BenchHeader.callKey) ?? '',
      call: headerText(request, Header.call) ?? '',
      contextHeader: headerText(request, Header.context),
      arrivedMs: wallClockMs(),
      signal: deadlineMs > 0 ? AbortSignal.any([signal, AbortSignal.timeout(deadlineMs)]) : signal,
    };
  }

  private async executeCall(call: IncomingCall, reply: FastifyReply): Promise<FastifyReply> {
    const lease = await this.queue.acquire(call.signal);
    if (lease === undefined) {
      this.recordNotStarted(call);
      return reply.code(503).header(Header.shed, SHED_BEFORE_WORK).send({ error: 'too late' });
    }
    const execution = this.recordStart(call);
    const { result, nested } = await this.performWork(call, execution);
    lease.release();
    this.records.write({
      kind: 'end',
      execution,
      endedMs: wallClockMs(),
      result,
      ...(nested === undefined ? {} : { nested }),
    });
    if (result !== 'finished') return reply.code(503).send({ error: result });
    return reply.type('application/json').send(this.responseBody(call));
  }

  private async performWork(call: IncomingCall, execution: string): Promise<WorkResult> {
    const { plan, signal } = call;
    const drawnMs = this.serviceTime.drawMs(plan.workMeanMs, this.queue.waitingCount);
    if (!(await this.workFor(drawnMs / 2, signal))) return { result: 'cancelled' };
    if (plan.nested === undefined) return this.finishWork(drawnMs / 2, signal);
    const { isOk, reportedOutcome } = await this.nestedCaller.sendOnce(plan.nested, {
      request: call.request,
      callKey: `${execution}>${plan.nested.service}`,
      contextHeader: call.contextHeader,
      signal,
    });
    if (signal.aborted) return { result: 'cancelled', nested: reportedOutcome };
    if (!isOk) return { result: 'nested-failed', nested: reportedOutcome };
    return { ...(await this.finishWork(drawnMs / 2, signal)), nested: reportedOutcome };
  }

  private async finishWork(timeMs: number, signal: AbortSignal): Promise<WorkResult> {
    return { result: (await this.workFor(timeMs, signal)) ? 'finished' : 'cancelled' };
  }

  /** Simulates work for the given time; returns false if the call was cancelled before the end. */
  private async workFor(timeMs: number, signal: AbortSignal): Promise<boolean> {
    if (timeMs === 0) return !signal.aborted;
    const timerMs = this.serviceTime.deductOverrunMs(timeMs);
    const startedMs = wallClockMs();
    try {
      await sleep(timerMs, undefined, { signal });
    } catch {
      return false;
    }
    this.serviceTime.recordTimer(timerMs, wallClockMs() - startedMs);
    return true;
  }

  private recordStart(call: IncomingCall): string {
    this.executionCount += 1;
    const execution = `${this.plan.name}.${this.incarnation}.${this.executionCount}`;
    this.records.write({
      kind: 'start',
      execution,
      target: this.plan.name,
      service: this.plan.service,
      method: `${call.plan.httpMethod} ${call.plan.path}`,
      request: call.request,
      callKey: call.callKey,
      call: call.call,
      arrivedMs: call.arrivedMs,
      startedMs: wallClockMs(),
    });
    return execution;
  }

  private recordNotStarted(call: IncomingCall): void {
    this.records.write({
      kind: 'not-started',
      target: this.plan.name,
      service: this.plan.service,
      request: call.request,
      callKey: call.callKey,
      arrivedMs: call.arrivedMs,
    });
  }

  private responseBody(call: IncomingCall): string {
    const { request, callKey, plan } = call;
    const paddingBytes = Math.floor(uniformMs(this.random, MIN_PADDING_BYTES, MAX_PADDING_BYTES));
    return buildResponseBody(
      { request, callKey, service: this.plan.service, path: plan.path },
      paddingBytes,
    );
  }
}
