/** Identity of one run of a daemon: its name and the incarnation of this run. */
export interface DaemonId {
  /** Stable name of the daemon from its settings, for example `vault-quiapo-2`. */
  readonly name: string;
  /** Random for each process start, so that no two runs share it; 16 hexadecimal digits. */
  readonly incarnation: string;
}

export const TargetState = {
  /** Announced, capacity still ramping up. */
  warming: 'warming',
  /** Takes work. */
  serving: 'serving',
  /** Drains: takes no new work. */
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
  /** Concurrent calls that the target accepts at the most. */
  readonly slots: number;
  /** Connections that the target accepts at the most. */
  readonly connections: number;
  readonly targetState: TargetStateName;
  /** Raised by the member itself on each change of what it publishes. */
  readonly version: number;
}

/** How reachable the membership takes a member to be. */
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

/** Read side of the membership, as routing uses it. */
export interface MemberDirectory {
  /** Members of a service in any state but dead, in a stable order by name. */
  membersOf(service: string): readonly MemberView[];
  /** The member with this name, whatever its incarnation. */
  memberNamed(name: string): MemberView | undefined;
  /** Changes whenever membersOf could answer differently; lets callers cache. */
  readonly epoch: number;
}
