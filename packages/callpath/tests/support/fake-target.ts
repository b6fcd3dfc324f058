import type {
  HandOverRequest,
  HandOverResult,
  TargetClient,
} from '@daisyferry/callpath/call-message';
import type { Cancellation } from '@daisyferry/callpath/cancellation';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import type { FakeProcess } from './fake-process';

/** One execution as recorded by the target itself; the ground truth of the tests. */
export interface Execution {
  readonly rootId: string;
  readonly className: string;
  readonly target: string;
  readonly startedAtMs: number;
}

const HOP_MS = 0.2;

/** A target with its connection to the daemon beside it. */
export class FakeTarget implements TargetClient {
  readonly executions: Execution[] = [];

  serviceMs = 20;

  truncatesResponses = false;

  private isAlive = true;

  private readonly pendingResults = new Set<(result: HandOverResult) => void>();

  /** Called when an execution starts. */
  onStart: (execution: Execution) => void = () => undefined;

  /** Called when a call handed over has its result. */
  onEnd: (rootId: string, kind: HandOverResult['kind']) => void = () => undefined;

  constructor(
    private readonly name: string,
    private readonly daemon: FakeProcess,
    private readonly scheduler: VirtualScheduler,
  ) {}

  kill(): void {
    this.isAlive = false;
    for (const resolve of this.pendingResults) resolve({ kind: 'lost' });
  }

  async handOver(call: HandOverRequest, cancellation: Cancellation): Promise<HandOverResult> {
    return new Promise((settle) => {
      const resolve = (result: HandOverResult): void => {
        if (!this.pendingResults.delete(resolve)) return;
        this.onEnd(call.rootId, result.kind);
        this.daemon.run(() => settle(result));
      };
      this.pendingResults.add(resolve);
      cancellation.onCancel(() => resolve({ kind: 'lost' }));
      this.daemon.run(() => this.scheduler.after(HOP_MS, () => this.begin(call, resolve)));
    });
  }

  private begin(call: HandOverRequest, resolve: (result: HandOverResult) => void): void {
    if (!this.isAlive) {
      resolve({ kind: 'not-sent' });
      return;
    }
    const { rootId, className } = call;
    const startedAtMs = this.scheduler.nowMs();
    const execution = { rootId, className, target: this.name, startedAtMs };
    this.executions.push(execution);
    this.onStart(execution);
    this.scheduler.after(this.serviceMs, () => this.end(call, resolve));
  }

  private end(call: HandOverRequest, resolve: (result: HandOverResult) => void): void {
    if (!this.isAlive) return;
    if (this.truncatesResponses) {
      resolve({ kind: 'lost' });
      return;
    }
    const bytes = Buffer.from(`response to ${call.rootId}`);
    const body = { kind: 'buffered' as const, bytes };
    const ended = Promise.resolve('complete' as const);
    resolve({ kind: 'response', statusCode: 200, headers: [], body, ended });
  }
}
