import type { Member } from '@daisyferry/model/member';
import type { EntryRequest, EntryResponse } from './entry-call';

/** Forwards a caller's request to the daemon that keeps the retry tokens of its root request. */
export interface RootForwarder {
  /** Resolves with undefined when the daemon is unreachable or sends no complete response. */
  forward(home: Member, request: EntryRequest): Promise<EntryResponse | undefined>;
}
