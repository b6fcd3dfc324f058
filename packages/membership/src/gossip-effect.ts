import type { Member, MemberView } from '@daisyferry/model/member';
import type { DropReasonName } from './gossip-message';

/** Where a datagram goes. */
export interface GossipAddress {
  readonly address: string;
  readonly port: number;
}

/** What the engine asks its task to do. */
export type GossipEffect =
  | ({ readonly kind: 'send'; readonly payload: Buffer } & GossipAddress)
  /** A member is new, changed what it publishes, or changed its reachability. */
  | { readonly kind: 'memberChanged'; readonly view: MemberView }
  /** A peer applies a greater policy revision than any that was announced here. */
  | { readonly kind: 'policyRumor'; readonly revision: number; readonly from: Member }
  /** Another live process carries this daemon's name with a greater record. */
  | { readonly kind: 'superseded'; readonly by: Member }
  | { readonly kind: 'dropped'; readonly reason: DropReasonName };
