import type { Member } from '@daisyferry/model/member';
import type { EntryResponse, EntryRequest } from './entry-call';

/** Passes a caller's request to the daemon that keeps the tokens of its root. */
export interface RootForwarder {
  /** Resolves with undefined when the daemon cannot be reached or gives no whole answer. */
  forward(home: Member, request: EntryRequest): Promise<EntryResponse | undefined>;
}
