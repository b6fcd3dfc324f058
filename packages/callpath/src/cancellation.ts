/** Why a call in progress is cancelled. */
export const CancelReason = {
  /** The caller closed its connection. */
  callerGone: 'caller-gone',
  /** The deadline of the call has passed. */
  deadlinePassed: 'deadline-passed',
} as const;

export type CancelReasonName = (typeof CancelReason)[keyof typeof CancelReason];

type CancelListener = (reason: CancelReasonName) => void;

/** Propagates the cancellation of a call to everything that works on it. Fires at most once. */
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

  /** Calls the listener on cancellation, immediately if already cancelled; returns its removal. */
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
