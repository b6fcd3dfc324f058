import type { Member } from '@daisyferry/model/member';

/**
 * How a call to a peer failed.
 * - `busy`: the peer refused because it serves enough others; another peer can be asked.
 * - `unreachable`: no answer came in time.
 * - `failed`: the peer answered with an error.
 */
export type RpcFailureKind = 'busy' | 'unreachable' | 'failed';

export type RpcResult =
  | { readonly ok: true; readonly value: unknown }
  | { readonly ok: false; readonly kind: RpcFailureKind; readonly detail: string };

/** JSON-RPC 2.0 calls to other daemons over their peer listeners. No method rejects. */
export interface PeerRpc {
  call(member: Member, method: string, params: unknown, timeoutMs: number): Promise<RpcResult>;
}

/** Names of the JSON-RPC methods that the membership serves. */
export const PeerMethod = {
  policyDelta: 'policy.delta',
  membersSnapshot: 'members.snapshot',
  statusRevision: 'status.revision',
  statusRevisions: 'status.revisions',
} as const;

/** JSON-RPC error code by which a peer refuses because it is busy. */
export const RPC_BUSY_CODE = -32_001;
