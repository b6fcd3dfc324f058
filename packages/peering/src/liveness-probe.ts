/** Time without received data after which a connection is probed on which an answer is awaited. */
const BUSY_PROBE_AFTER_MS = 300;
/** Time without received data after which any other connection is probed. */
const IDLE_PROBE_AFTER_MS = 2_000;
/** Time after a probe without received data, after which the connection is closed. */
const PROBE_TIMEOUT_MS = 700;

export const Liveness = {
  assumed: 'assumed',
  /** The connection is to be probed now. */
  doubtful: 'doubtful',
  /** The probe was not answered. */
  lost: 'lost',
} as const;

export type LivenessName = (typeof Liveness)[keyof typeof Liveness];

/**
 * Decides when a connection between two daemons is probed and when it counts as silent for good. Load
 * that it answers: connections that a partition or a loss of power leaves open at this end.
 */
export class LivenessProbe {
  private receivedAtMs: number;

  private probedAtMs: number | undefined;

  /** True from the sending of a frame that is answered until something is received. */
  private isAnswerAwaited = false;

  constructor(nowMs: number) {
    this.receivedAtMs = nowMs;
  }

  recordReceived(nowMs: number): void {
    this.receivedAtMs = nowMs;
    this.isAnswerAwaited = false;
  }

  expectAnswer(): void {
    this.isAnswerAwaited = true;
  }

  /** Called several times a second; `hasCalls` tells that replies are awaited. */
  check(hasCalls: boolean, nowMs: number): LivenessName {
    if (this.probedAtMs !== undefined) {
      if (this.receivedAtMs >= this.probedAtMs) this.probedAtMs = undefined;
      return this.probedAtMs !== undefined && nowMs - this.probedAtMs > PROBE_TIMEOUT_MS
        ? Liveness.lost
        : Liveness.assumed;
    }
    const isBusy = hasCalls || this.isAnswerAwaited;
    const probeAfterMs = isBusy ? BUSY_PROBE_AFTER_MS : IDLE_PROBE_AFTER_MS;
    if (nowMs - this.receivedAtMs < probeAfterMs) return Liveness.assumed;
    this.probedAtMs = nowMs;
    return Liveness.doubtful;
  }
}
