import type { LostRun } from '@daisyferry/mesh/crash-suspects';

/** A call whose connection to the target ended without a response. */
export interface LostCall extends LostRun {
  readonly requestId: string;
  /** Called with whether the target has crashed; the call is not settled before. */
  settleLost(hasCrashed: boolean): void;
}

/** Whether the target accepts a connection; `unclear` without an answer in time. */
export type ProbeResult = 'accepted' | 'refused' | 'unclear';

export interface TargetCrashDetectionParts {
  /** Opens a connection to the target. */
  readonly probe: (onResult: (result: ProbeResult) => void) => void;
  /** True if the end of the target was announced, by itself or in its answers. */
  readonly isEndExpected: () => boolean;
  /** The calls at the target that have not ended. */
  readonly runningCalls: () => ReadonlySet<unknown>;
  /** Called with all calls that the target was running when it crashed. */
  readonly onCrash: (lostCalls: readonly LostCall[]) => void;
}

/** Time in which all connections of a target that has crashed end. */
const CONNECTIONS_END_MS = 20;

/**
 * Tells a crash of the target from a connection that it ended: after a crash it refuses new
 * connections, and those of all calls that were running have ended.
 */
export class TargetCrashDetection {
  private lostCalls: LostCall[] = [];

  constructor(private readonly parts: TargetCrashDetectionParts) {}

  /** Holds the call until it is known whether the target has crashed. */
  handleLost(call: LostCall): void {
    this.lostCalls.push(call);
    if (this.lostCalls.length > 1) return;
    const runningBefore = [...this.parts.runningCalls()];
    this.parts.probe((result) => {
      if (result !== 'refused' || this.parts.isEndExpected()) {
        this.settle(false);
        return;
      }
      if (this.haveEnded(runningBefore)) this.settle(true);
      else setTimeout(() => this.settle(this.haveEnded(runningBefore)), CONNECTIONS_END_MS);
    });
  }

  private haveEnded(calls: readonly unknown[]): boolean {
    const running = this.parts.runningCalls();
    return !calls.some((call) => running.has(call));
  }

  private settle(hasCrashed: boolean): void {
    const calls = this.lostCalls;
    this.lostCalls = [];
    if (hasCrashed) this.parts.onCrash(calls);
    for (const call of calls) call.settleLost(hasCrashed);
  }
}
