import type { Member, MemberView } from '@daisyferry/model/member';
import type { DropReasonName } from './gossip-message';

/** Destination or source of a datagram. */
export interface GossipAddress {
  readonly address: string;
  readonly port: number;
}

/** Effects that the engine requests from its task. */
export type GossipEffect =
  | ({ readonly kind: 'send'; readonly payload: Buffer } & GossipAddress)
  /** A member is new, changed its published record or changed its reachability. */
  | { readonly kind: 'memberChanged'; readonly view: MemberView }
  /** A peer has applied a greater policy revision than any announced by this daemon. */
  | { readonly kind: 'policyRumor'; readonly revision: number; readonly from: Member }
  /** Another live process uses this daemon's name with a greater record. */
  | { readonly kind: 'superseded'; readonly by: Member }
  /** The table of a peer is many times larger: the whole table has to be fetched. */
  | { readonly kind: 'tableBehind' }
  | { readonly kind: 'dropped'; readonly reason: DropReasonName };
