import type { EntryRequest } from './entry-call';

/**
 * Ends a nested call together with the call that it belongs to, whether or not the target notices.
 * Returns a function that ends the link.
 */
export function followParent(request: EntryRequest): () => void {
  const { origin, cancellation } = request;
  if (origin.kind !== 'nested') return () => undefined;
  return origin.parent.cancellation.onCancel((reason) => cancellation.cancel(reason));
}
