/** Why a call in progress is cancelled. */
export const CancelReason = {
  /** The caller closed its connection. */
  callerGone: 'caller-gone',
  /** The deadline of the call has passed. */
  deadlinePassed: 'deadline-passed',
} as const;

export type CancelReasonName = (typeof CancelReason)[keyof typeof CancelReason];

type CancelListener = (reason: CancelReasonName) => void;

/** Cancellation of one call. Listeners are called at most once, with the first reason. */
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

  /**
   * Calls the listener on cancellation, immediately if already cancelled. Returns a function that
   * removes the listener.
   */
  onCancel(listener: CancelListener): () => void {
    if (this.cancelledFor !== undefined) {
      listener(this.cancelledFor);
      return () => undefined;
    }
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Creates a cancellation that is cancelled with this one until `detach` is called. */
  child(): { readonly cancellation: Cancellation; readonly detach: () => void } {
    const cancellation = new Cancellation();
    const detach = this.onCancel((reason) => cancellation.cancel(reason));
    return { cancellation, detach };
  }
}
