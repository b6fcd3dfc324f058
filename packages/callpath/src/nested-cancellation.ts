import type { EntryRequest } from './entry-call';

/**
 * Cancels a nested call together with its parent call, even if the target does not react. Returns a
 * function that removes the link.
 */
export function cancelWithParent(request: EntryRequest): () => void {
  const { origin, cancellation } = request;
  if (origin.kind !== 'nested') return () => undefined;
  return origin.parent.cancellation.onCancel((reason) => cancellation.cancel(reason));
}
