import type { Member } from '@daisyferry/model/member';

/**
 * How a call to a peer failed.
 * - `busy`: the peer refused because of its rate limit; another peer can be tried.
 * - `unreachable`: no complete reply arrived, for example because of a timeout.
 * - `failed`: the peer replied with an error.
 */
export type RpcFailureKind = 'busy' | 'unreachable' | 'failed';

export type RpcResult =
  | { readonly ok: true; readonly value: unknown }
  | { readonly ok: false; readonly kind: RpcFailureKind; readonly detail: string };

/** JSON-RPC 2.0 calls to the peer listeners of other daemons. The returned promise never rejects. */
export interface PeerRpc {
  call(member: Member, method: string, params: unknown, timeoutMs: number): Promise<RpcResult>;
}

/**
 * Names of the JSON-RPC methods between daemons that this package serves.
 * - `status.revision` returns the peer's own policy revision and whether it is ready.
 * - `status.revisions` makes the peer survey other members and returns those that have not applied a
 *   revision.
 */
export const PeerMethod = {
  policyDelta: 'policy.delta',
  membersSnapshot: 'members.snapshot',
  statusRevision: 'status.revision',
  statusRevisions: 'status.revisions',
} as const;

/** JSON-RPC error code of a peer that is busy. */
export const RPC_BUSY_CODE = -32_001;
