/** Why a call in progress is given up. */
export const CancelReason = {
  /** The caller closed its connection. */
  callerGone: 'caller-gone',
  /** The budget of the call is used up. */
  deadlinePassed: 'deadline-passed',
} as const;

export type CancelReasonName = (typeof CancelReason)[keyof typeof CancelReason];

type CancelListener = (reason: CancelReasonName) => void;

/** Carries the end of interest in a call to everything that works for it. Cancels at most once. */
export class Cancellation {
  private readonly listeners = new Set<CancelListener>();

  private cancelledFor: CancelReasonName | undefined;

  /** The reason, once cancelled. */
  get reason(): CancelReasonName | undefined {
    return this.cancelledFor;
  }

  cancel(reason: CancelReasonName): void {
    if (this.cancelledFor !== undefined) return;
    this.cancelledFor = reason;
    for (const listener of [...this.listeners]) listener(reason);
    this.listeners.clear();
  }

  /** Calls the listener once, at once when already cancelled; returns a function that removes it. */
  onCancel(listener: CancelListener): () => void {
    if (this.cancelledFor !== undefined) {
      listener(this.cancelledFor);
      return () => undefined;
    }
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Creates a cancellation that follows this one; `detach` ends the connection between them. */
  child(): { readonly cancellation: Cancellation; readonly detach: () => void } {
    const cancellation = new Cancellation();
    const detach = this.onCancel((reason) => cancellation.cancel(reason));
    return { cancellation, detach };
  }
}
