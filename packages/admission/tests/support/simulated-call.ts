import type { CallResult, RootRequest } from './chain';
import type { Home } from './home';

/** A call at its home, from arrival to its end. */
export class SimulatedCall {
  state: 'queued' | 'running' | 'ended' = 'queued';

  startedAtMs = 0;

  /** Cancels the nested call in progress, if any. */
  cancelNested: () => void = () => undefined;

  constructor(
    readonly id: string,
    readonly root: RootRequest,
    readonly home: Home,
    readonly onEnd: (result: CallResult, threshold: number) => void,
  ) {}

  start(nowMs: number): void {
    this.state = 'running';
    this.startedAtMs = nowMs;
    this.home.inProgress++;
  }

  /** Ends the call and returns how long it occupied a slot, in ms. */
  end(nowMs: number): number {
    const wasRunning = this.state === 'running';
    this.state = 'ended';
    this.home.calls.delete(this.id);
    if (!wasRunning) return 0;
    this.home.inProgress--;
    return nowMs - this.startedAtMs;
  }
}
