import type { Member } from '@daisyferry/model/member';
import { Reachability, TargetState } from '@daisyferry/model/member';
import { z } from 'zod';

const MAX_NAME_CHARACTERS = 63;
const MAX_PORT = 65_535;
const MAX_CAPACITY = 1_000_000;

const name = z.string().min(1).max(MAX_NAME_CHARACTERS);
const count = z.int().min(0);

/** Order on the wire, where a value is encoded as its index. */
const TARGET_STATES = [
  TargetState.warming,
  TargetState.serving,
  TargetState.leaving,
  TargetState.absent,
] as const;

/** Order on the wire, where a value is encoded as its index. */
const REACHABILITIES = [Reachability.alive, Reachability.suspect, Reachability.dead] as const;

/**
 * A complete member record as a compact array: name, incarnation, service, data centre, region,
 * address, peer port, gossip port, slots, connections, target state, version, refutations,
 * reachability.
 */
export const memberRowSchema = z.tuple([
  name,
  z.string().regex(/^[0-9a-f]{16}$/),
  name,
  name,
  name,
  z.union([z.ipv4(), z.ipv6()]),
  z.int().min(1).max(MAX_PORT),
  z.int().min(1).max(MAX_PORT),
  count.max(MAX_CAPACITY),
  count.max(MAX_CAPACITY),
  z
    .int()
    .min(0)
    .max(TARGET_STATES.length - 1),
  count,
  count,
  z
    .int()
    .min(0)
    .max(REACHABILITIES.length - 1),
]);

export type MemberRow = z.infer<typeof memberRowSchema>;

/** A member with its reachability and refutation count. */
export interface MemberStatus {
  readonly member: Member;
  /** Number of suspicions that the member refuted since its version was raised. */
  readonly refutations: number;
  readonly reachability: (typeof REACHABILITIES)[number];
}

/** Converts to the wire format. */
export function toMemberRow({ member, refutations, reachability }: MemberStatus): MemberRow {
  return [
    member.id.name,
    member.id.incarnation,
    member.service,
    member.dataCentre,
    member.region,
    member.address,
    member.peerPort,
    member.gossipPort,
    member.slots,
    member.connections,
    TARGET_STATES.indexOf(member.targetState),
    member.version,
    refutations,
    REACHABILITIES.indexOf(reachability),
  ];
}

/** Converts a validated row from the wire format. */
export function fromMemberRow(row: MemberRow): MemberStatus {
  const member: Member = {
    id: { name: row[0], incarnation: row[1] },
    service: row[2],
    dataCentre: row[3],
    region: row[4],
    address: row[5],
    peerPort: row[6],
    gossipPort: row[7],
    slots: row[8],
    connections: row[9],
    targetState: TARGET_STATES[row[10]] ?? TargetState.absent,
    version: row[11],
  };
  const reachability = REACHABILITIES[row[13]] ?? Reachability.suspect;
  return { member, refutations: row[12], reachability };
}
