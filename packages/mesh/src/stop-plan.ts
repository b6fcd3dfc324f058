/** The phases of a planned stop, in their order. */
export const StopPhase = {
  /** Callers learn of the stop through readiness and are served meanwhile. */
  notice: 'notice',
  /** Other daemons know of the stop, and their last calls arrive. */
  peerNotice: 'peerNotice',
  /** No connection is accepted; what has been accepted is finished. */
  finishing: 'finishing',
  /** What has not been passed on to a target is refused. */
  refusing: 'refusing',
  /** What is at a target is broken off; the last responses and replies are sent. */
  breaking: 'breaking',
  /** All connections close. */
  ended: 'ended',
} as const;

export type StopPhaseName = (typeof StopPhase)[keyof typeof StopPhase];

/** A request that an entry may pass on. */
export interface StopRequest {
  /** When its last byte was read. */
  readonly readMs: number;
  /** When it has its answer at the latest: its deadline. */
  readonly deadlineMs: number;
}

/** A call that a home may accept. */
export interface StopCall {
  /** Expected time until its answer. */
  readonly expectedMs: number;
  /** Expected wait and the time that a call like it has taken at most lately. */
  readonly longestMs: number;
  /** Time until its deadline. */
  readonly remainingMs: number;
  /** True if another home may run it once more, after it was broken off here. */
  readonly isIdempotent: boolean;
}

interface StopTimes {
  readonly peerNoticeMs: number;
  readonly finishMs: number;
  readonly refuseMs: number;
  readonly breakMs: number;
  readonly endMs: number;
  readonly goneMs: number;
  /** By how much refusals and what follows them may come earlier. */
  readonly maxEarlyMs: number;
}

/** Time after the request to stop in which callers learn of it: two readiness probes. */
const CALLER_NOTICE_MS = 2_600;
/** Maximum length of this notice, as a share of the grace time. */
const MAX_NOTICE_SHARE_OF_GRACE = 0.45;
/** Last part of the notice, in which other daemons learn of the stop and send their last calls. */
const PEER_NOTICE_MS = 300;
/** Time before the kill at which work at targets is broken off; less than a sixth of the grace. */
const MAX_EXIT_MARGIN_MS = 800;
const MAX_EXIT_MARGIN_SHARE_OF_GRACE = 0.13;
/** Time before that at which refusals are sent, as a share of the margin: replies need a round trip. */
const REFUSAL_SHARE_OF_MARGIN = 0.375;
/** Parts of the margin in which the last responses are sent, and in which the record is removed. */
const FLUSH_SHARE_OF_MARGIN = 0.3;
const REMOVAL_SHARE_OF_MARGIN = 0.4;
/** By how much a call may take longer than expected and still fit into the time that is left. */
const CALL_TIME_FACTOR = 1.5;
/** Part of the grace from which on work may be broken off. */
const EARLIEST_BREAK_SHARE_OF_GRACE = 5 / 6;
/** Turns of the event loop that the last phases need. */
const LAST_TURNS = 4;
/** Time until another process of the daemon serves. */
const RESTART_MS = 1_000;

function timesOf(beganMs: number, graceMs: number): StopTimes {
  const noticeMs = Math.min(CALLER_NOTICE_MS, graceMs * MAX_NOTICE_SHARE_OF_GRACE);
  const marginMs = Math.min(MAX_EXIT_MARGIN_MS, graceMs * MAX_EXIT_MARGIN_SHARE_OF_GRACE);
  const finishMs = beganMs + noticeMs;
  const breakMs = beganMs + graceMs - marginMs;
  const endMs = breakMs + marginMs * FLUSH_SHARE_OF_MARGIN;
  return {
    peerNoticeMs: finishMs - Math.min(PEER_NOTICE_MS, noticeMs / 2),
    finishMs,
    refuseMs: breakMs - marginMs * REFUSAL_SHARE_OF_MARGIN,
    breakMs,
    endMs,
    goneMs: endMs + marginMs * REMOVAL_SHARE_OF_MARGIN,
    maxEarlyMs: Math.max(0, breakMs - (beganMs + graceMs * EARLIEST_BREAK_SHARE_OF_GRACE)),
  };
}

/**
 * The decisions of a planned stop: what is accepted, passed on, refused and broken off, and when. Load
 * that it answers: requests that arrive, run or wait while a daemon has to end within the grace time.
 * A request that is passed on is finished, as far as its target answers before the end; one that
 * might not be is refused before it is passed on. Until `begin`, everything is accepted.
 */
export class StopPlan {
  private times: StopTimes | undefined;

  /** By how much the last phases begin earlier, as the event loop is late. */
  private earlyMs = 0;

  /** True from the request to stop on. */
  get hasBegun(): boolean {
    return this.times !== undefined;
  }

  /** The first call counts: neither a further signal nor other settings change a stop. */
  begin(graceMs: number, nowMs: number): void {
    this.times ??= timesOf(nowMs, graceMs);
  }

  /**
   * Records by how much the event loop is late. Load that it answers: a process that is so busy that its
   * last steps would take longer than the margin before the kill.
   */
  recordLateness(lateMs: number): void {
    const maxEarlyMs = this.times?.maxEarlyMs ?? 0;
    this.earlyMs = Math.max(this.earlyMs, Math.min(maxEarlyMs, lateMs * LAST_TURNS));
  }

  /** The phase that follows `phase`, or `phase` while that lasts. */
  phaseAfter(phase: StopPhaseName, hasWork: boolean, nowMs: number): StopPhaseName {
    const { times } = this;
    if (times === undefined) return phase;
    const isOver = (endMs: number) => nowMs >= endMs;
    const { earlyMs } = this;
    switch (phase) {
      case StopPhase.notice:
        return isOver(times.peerNoticeMs) ? StopPhase.peerNotice : phase;
      case StopPhase.peerNotice:
        return isOver(times.finishMs) ? StopPhase.finishing : phase;
      case StopPhase.finishing:
        if (!hasWork) return StopPhase.ended;
        return isOver(times.refuseMs - earlyMs) ? StopPhase.refusing : phase;
      case StopPhase.refusing:
        if (!hasWork) return StopPhase.ended;
        return isOver(times.breakMs - earlyMs) ? StopPhase.breaking : phase;
      case StopPhase.breaking:
        return !hasWork || isOver(times.endMs - earlyMs) ? StopPhase.ended : phase;
      case StopPhase.ended:
        return phase;
      default:
        return phase satisfies never;
    }
  }

  /**
   * Whether the entry may pass a request on. One that was read during the notice may be until the
   * refusals; a later one only if it has its answer before work is broken off.
   */
  mayPassOn({ readMs, deadlineMs }: StopRequest, nowMs: number): boolean {
    const { times } = this;
    if (times === undefined) return true;
    if (nowMs >= times.refuseMs - this.earlyMs) return false;
    return readMs < times.finishMs || deadlineMs <= times.breakMs - times.maxEarlyMs;
  }

  /**
   * Whether the home may accept a call, as it has its answer before work is broken off. Load that it
   * answers: a route on which a few calls take many times the mean, which run once at most and have no
   * other chance if they are broken off.
   */
  mayAcceptCall(call: StopCall, nowMs: number): boolean {
    const { times } = this;
    if (times === undefined) return true;
    if (nowMs >= times.refuseMs - this.earlyMs) return false;
    const leftMs = times.breakMs - times.maxEarlyMs - nowMs;
    const latestMs = Math.min(call.longestMs, call.remainingMs);
    if (!call.isIdempotent && latestMs > leftMs) return false;
    return call.expectedMs * CALL_TIME_FACTOR <= leftMs;
  }

  /** Time after which a caller that was refused for the stop finds a daemon again. */
  retryAfterMs(nowMs: number): number {
    return Math.max(0, (this.times?.breakMs ?? nowMs) - nowMs) + RESTART_MS;
  }

  /** Time that is left for the removal of the daemon's record from the store. */
  removalTimeoutMs(nowMs: number): number {
    const { times } = this;
    return times === undefined
      ? 0
      : Math.max(0, Math.min(times.goneMs - this.earlyMs - nowMs, times.goneMs - times.endMs));
  }
}
