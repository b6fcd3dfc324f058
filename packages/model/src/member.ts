/** Identity of one incarnation of a daemon, that is, of one run of its process. */
export interface DaemonId {
  /** Stable name of the daemon from its settings, for example `vault-quiapo-2`. */
  readonly name: string;
  /** Random for each process start, so that no two runs share it; 16 hexadecimal digits. */
  readonly incarnation: string;
}

export const TargetState = {
  /** Announced; its concurrency limit is still ramping up. */
  warming: 'warming',
  /** Accepts calls. */
  serving: 'serving',
  /** Draining: accepts no new calls. */
  leaving: 'leaving',
  /** The daemon runs but no target has announced itself. */
  absent: 'absent',
} as const;

export type TargetStateName = (typeof TargetState)[keyof typeof TargetState];

/** What every daemon publishes about itself and the target beside it. */
export interface Member {
  readonly id: DaemonId;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  /** IP address at which peers reach the daemon. */
  readonly address: string;
  /** TCP port for calls and JSON-RPC between daemons. */
  readonly peerPort: number;
  /** UDP port for gossip. */
  readonly gossipPort: number;
  /** Maximum number of concurrent calls that the target accepts. */
  readonly slots: number;
  /** Maximum number of connections that the target accepts. */
  readonly connections: number;
  readonly targetState: TargetStateName;
  /** Raised by the member itself on each change of its published record. */
  readonly version: number;
}

/** Reachability of a member according to failure detection. */
export const Reachability = {
  alive: 'alive',
  suspect: 'suspect',
  dead: 'dead',
} as const;

export type ReachabilityName = (typeof Reachability)[keyof typeof Reachability];

export interface MemberView {
  readonly member: Member;
  readonly reachability: ReachabilityName;
}

/** Read-only view of the membership, used by routing. */
export interface MemberDirectory {
  /** Members of a service in any state but dead, in a stable order by name. */
  membersOf(service: string): readonly MemberView[];
  /** The member with this name, regardless of its incarnation. */
  memberNamed(name: string): MemberView | undefined;
  /** Changes whenever the result of `membersOf` may change, so that callers can cache it. */
  readonly epoch: number;
}
