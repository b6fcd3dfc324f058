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
  /** The same for a crash that is noticed only once another incarnation has announced itself. */
  readonly onEarlierCrash: (lostCalls: readonly LostCall[]) => void;
  readonly clock: () => number;
}

/** Calls whose connections have all ended, although the target accepts new ones. */
interface UnexplainedLoss {
  readonly calls: readonly LostCall[];
  readonly atMs: number;
}

/** Time in which all connections of a target that has crashed end. */
const CONNECTIONS_END_MS = 20;
/** Time after a loss in which another incarnation of the target explains it by a crash. */
const REPLACEMENT_MS = 5_000;

/**
 * Tells a crash of the target from a connection that it ended: after a crash it refuses new
 * connections, and those of all calls that were running have ended. A target may be back before the
 * daemon looks, as when the daemon was paused; its next announcement tells then.
 */
export class TargetCrashDetection {
  private lostCalls: LostCall[] = [];

  private unexplained: UnexplainedLoss | undefined;

  constructor(private readonly parts: TargetCrashDetectionParts) {}

  /** Holds the call until it is known whether the target has crashed. */
  handleLost(call: LostCall): void {
    this.lostCalls.push(call);
    if (this.lostCalls.length > 1) return;
    const runningBefore = [...this.parts.runningCalls()];
    this.parts.probe((result) => {
      if (result !== 'refused' || this.parts.isEndExpected()) {
        this.noteUnexplained(runningBefore);
        this.settle(false);
        return;
      }
      if (this.haveEnded(runningBefore)) this.settle(true);
      else setTimeout(() => this.settle(this.haveEnded(runningBefore)), CONNECTIONS_END_MS);
    });
  }

  /** Called when another incarnation of the target has announced itself. */
  handleReplaced(wasEndExpected: boolean): void {
    const { unexplained } = this;
    this.unexplained = undefined;
    if (unexplained === undefined || wasEndExpected) return;
    const { onEarlierCrash, clock } = this.parts;
    if (clock() - unexplained.atMs < REPLACEMENT_MS) onEarlierCrash(unexplained.calls);
  }

  private noteUnexplained(runningBefore: readonly unknown[]): void {
    if (this.parts.isEndExpected() || !this.haveEnded(runningBefore)) return;
    this.unexplained = { calls: this.lostCalls, atMs: this.parts.clock() };
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
