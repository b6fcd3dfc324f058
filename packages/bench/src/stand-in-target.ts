import { Header, SHED_BEFORE_WORK } from '@daisyferry/model/headers';
import type { RandomSource } from '@daisyferry/model/scheduler';
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { setTimeout as sleep } from 'node:timers/promises';
import { answerBody } from './answer-body';
import type { MethodPlan } from './deployment';
import type { NestedCaller } from './nested-caller';
import { uniformMs } from './random';
import type { RecordSink } from './record-writer';
import { BenchHeader, type ExecutionEnd, type NestedTold } from './records';
import type { ServiceTime } from './service-time';
import { SlotQueue } from './slot-queue';
import type { TargetPlan } from './stand-in-target-plan';
import { wallClockMs } from './wall-clock';

/** Calls that may wait behind the slots, as a multiple of the slots. */
const QUEUE_PER_SLOT = 20;
const MIN_PADDING_BYTES = 100;
const MAX_PADDING_BYTES = 2_000;

interface Arrival {
  readonly plan: MethodPlan;
  readonly request: string;
  readonly callKey: string;
  readonly call: string;
  readonly context: string | undefined;
  readonly arrivedMs: number;
  readonly signal: AbortSignal;
}

interface WorkResult {
  readonly result: ExecutionEnd['result'];
  readonly nested?: NestedTold;
}

function headerOf(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/**
 * One stand-in target: slots with a queue behind them, seeded service times, one nested call for
 * the methods that have one. It stops work when its caller has gone or the deadline has passed.
 */
export class StandInTarget {
  readonly server: FastifyInstance;

  private readonly queue: SlotQueue;

  private executions = 0;

  constructor(
    private readonly plan: TargetPlan,
    private readonly incarnation: string,
    private readonly random: RandomSource,
    readonly serviceTime: ServiceTime,
    private readonly nested: NestedCaller,
    private readonly records: RecordSink,
  ) {
    this.queue = new SlotQueue(plan.slots, plan.slots * QUEUE_PER_SLOT);
    this.server = fastify({ forceCloseConnections: true, keepAliveTimeout: 60_000 });
    this.server.all('/*', (request, reply) => this.serve(request, reply));
  }

  private async serve(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const path = request.url.split('?')[0];
    const plan = this.plan.methods.find(
      (method) => method.path === path && method.httpMethod === request.method,
    );
    if (plan === undefined) return reply.code(404).send({ error: 'no such method' });
    if (this.queue.full) {
      return reply.code(503).header(Header.shed, SHED_BEFORE_WORK).send({ error: 'queue full' });
    }
    const left = new AbortController();
    reply.raw.on('close', () => {
      if (!reply.raw.writableFinished) left.abort();
    });
    return this.run(this.arrival(plan, request, left.signal), reply);
  }

  private arrival(plan: MethodPlan, request: FastifyRequest, signal: AbortSignal): Arrival {
    const deadlineMs = Number(headerOf(request, Header.deadlineMs));
    return {
      plan,
      request: headerOf(request, BenchHeader.request) ?? '',
      callKey: headerOf(request, BenchHeader.callKey) ?? '',
      call: headerOf(request, Header.call) ?? '',
      context: headerOf(request, Header.context),
      arrivedMs: wallClockMs(),
      signal: deadlineMs > 0 ? AbortSignal.any([signal, AbortSignal.timeout(deadlineMs)]) : signal,
    };
  }

  private async run(arrival: Arrival, reply: FastifyReply): Promise<FastifyReply> {
    const lease = await this.queue.acquire(arrival.signal);
    if (lease === undefined) {
      this.recordNotStarted(arrival);
      return reply.code(503).header(Header.shed, SHED_BEFORE_WORK).send({ error: 'too late' });
    }
    const execution = this.recordStart(arrival);
    const { result, nested } = await this.work(arrival, execution);
    lease.release();
    this.records.write({
      kind: 'end',
      execution,
      endedMs: wallClockMs(),
      result,
      ...(nested === undefined ? {} : { nested }),
    });
    if (result !== 'finished') return reply.code(503).send({ error: result });
    return reply.type('application/json').send(this.answer(arrival));
  }

  private async work(arrival: Arrival, execution: string): Promise<WorkResult> {
    const { plan, signal } = arrival;
    const drawnMs = this.serviceTime.draw(plan.workMeanMs, this.queue.queued);
    if (!(await this.spend(drawnMs / 2, signal))) return { result: 'cancelled' };
    if (plan.nested === undefined) return this.finish(drawnMs / 2, signal);
    const { ok, told } = await this.nested.send(plan.nested, {
      request: arrival.request,
      callKey: `${execution}>${plan.nested.service}`,
      context: arrival.context,
      signal,
    });
    if (signal.aborted) return { result: 'cancelled', nested: told };
    if (!ok) return { result: 'nested-failed', nested: told };
    return { ...(await this.finish(drawnMs / 2, signal)), nested: told };
  }

  private async finish(timeMs: number, signal: AbortSignal): Promise<WorkResult> {
    return { result: (await this.spend(timeMs, signal)) ? 'finished' : 'cancelled' };
  }

  /** Works for a time; false when the call was cancelled meanwhile. */
  private async spend(timeMs: number, signal: AbortSignal): Promise<boolean> {
    if (timeMs === 0) return !signal.aborted;
    const timerMs = this.serviceTime.takeTimerMs(timeMs);
    const startedMs = wallClockMs();
    try {
      await sleep(timerMs, undefined, { signal });
    } catch {
      return false;
    }
    this.serviceTime.settle(timerMs, wallClockMs() - startedMs);
    return true;
  }

  private recordStart(arrival: Arrival): string {
    this.executions += 1;
    const execution = `${this.plan.name}.${this.incarnation}.${this.executions}`;
    this.records.write({
      kind: 'start',
      execution,
      target: this.plan.name,
      service: this.plan.service,
      method: `${arrival.plan.httpMethod} ${arrival.plan.path}`,
      request: arrival.request,
      callKey: arrival.callKey,
      call: arrival.call,
      arrivedMs: arrival.arrivedMs,
      startedMs: wallClockMs(),
    });
    return execution;
  }

  private recordNotStarted(arrival: Arrival): void {
    this.records.write({
      kind: 'not-started',
      target: this.plan.name,
      service: this.plan.service,
      request: arrival.request,
      callKey: arrival.callKey,
      arrivedMs: arrival.arrivedMs,
    });
  }

  private answer(arrival: Arrival): string {
    const { request, callKey, plan } = arrival;
    const paddingBytes = Math.floor(uniformMs(this.random, MIN_PADDING_BYTES, MAX_PADDING_BYTES));
    return answerBody(
      { request, callKey, service: this.plan.service, path: plan.path },
      paddingBytes,
    );
  }
}
