import type {
  HandOverRequest,
  HandOverResult,
  TargetClient,
} from '@daisyferry/callpath/call-message';
import type { Cancellation } from '@daisyferry/callpath/cancellation';
import type { VirtualScheduler } from '@daisyferry/model/virtual-scheduler';
import type { FakeProcess } from './fake-process';

/** One execution, as the target itself knows it: the ground truth of the tests. */
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

  cutsAnswers = false;

  private alive = true;

  private readonly open = new Set<(result: HandOverResult) => void>();

  /** Called when an execution starts. */
  onStart: (execution: Execution) => void = () => undefined;

  /** Called when a call handed over has its result. */
  onEnd: (rootId: string, kind: HandOverResult['kind']) => void = () => undefined;

  constructor(
    private readonly name: string,
    private readonly daemon: FakeProcess,
    private readonly base: VirtualScheduler,
  ) {}

  kill(): void {
    this.alive = false;
    for (const resolve of this.open) resolve({ kind: 'lost' });
  }

  async handOver(call: HandOverRequest, cancellation: Cancellation): Promise<HandOverResult> {
    return new Promise((settle) => {
      const resolve = (result: HandOverResult): void => {
        if (!this.open.delete(resolve)) return;
        this.onEnd(call.rootId, result.kind);
        this.daemon.run(() => settle(result));
      };
      this.open.add(resolve);
      cancellation.onCancel(() => resolve({ kind: 'lost' }));
      this.daemon.run(() => this.base.after(HOP_MS, () => this.begin(call, resolve)));
    });
  }

  private begin(call: HandOverRequest, resolve: (result: HandOverResult) => void): void {
    if (!this.alive) {
      resolve({ kind: 'not-sent' });
      return;
    }
    const { rootId, className } = call;
    const startedAtMs = this.base.nowMs();
    const execution = { rootId, className, target: this.name, startedAtMs };
    this.executions.push(execution);
    this.onStart(execution);
    this.base.after(this.serviceMs, () => this.end(call, resolve));
  }

  private end(call: HandOverRequest, resolve: (result: HandOverResult) => void): void {
    if (!this.alive) return;
    if (this.cutsAnswers) {
      resolve({ kind: 'lost' });
      return;
    }
    const bytes = Buffer.from(`answer to ${call.rootId}`);
    const body = { kind: 'held' as const, bytes };
    const ended = Promise.resolve('whole' as const);
    resolve({ kind: 'answer', statusCode: 200, headers: [], body, ended });
  }
}
