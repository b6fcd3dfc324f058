import type { Member } from '@daisyferry/model/member';
import { TargetState } from '@daisyferry/model/member';

/** Size and rates of the fleet that one daemon is measured in. */
export interface ScalePlan {
  readonly members: number;
  readonly policies: number;
  /** Members that are replaced, over the whole fleet. */
  readonly replacementsPerDay: number;
  /** Members that fail without a word, over the whole fleet. */
  readonly failuresPerDay: number;
  readonly policyChangesPerDay: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Ports at which one process listens for all members that it plays. */
export interface FleetPorts {
  readonly gossipPort: number;
  readonly peerPort: number;
}

/** Cluster name of the measured fleet. */
export const SCALE_CLUSTER = 'scale';

/** Name of the measured daemon. */
export const SCALE_SUBJECT = 'subject';

const FULL_FLEET = 18_000;
const FULL_REPLACEMENTS_PER_DAY = 3_300;
const FULL_FAILURES_PER_DAY = 19;
const POLICY_CHANGES_PER_DAY = 16_000;
const SERVICES = 650;
const DATA_CENTRES = 20;
const REGIONS = 6;
const ADDRESSES_PER_BYTE = 250;
const FIRST_SECOND_BYTE = 16;
const SLOTS = 150;
const CONNECTIONS = 1_000;

/** The fleet of the two-year size, or a part of it with churn in proportion. */
export function scalePlan(
  members: number,
  policies: number,
  durationMs: number,
  seed: number,
): ScalePlan {
  const share = members / FULL_FLEET;
  return {
    members,
    policies,
    replacementsPerDay: FULL_REPLACEMENTS_PER_DAY * share,
    failuresPerDay: FULL_FAILURES_PER_DAY * share,
    policyChangesPerDay: POLICY_CHANGES_PER_DAY,
    durationMs,
    seed,
  };
}

function loopbackAddress(number: number): string {
  const high = Math.floor(number / ADDRESSES_PER_BYTE);
  const second = FIRST_SECOND_BYTE + Math.floor(high / ADDRESSES_PER_BYTE);
  return `127.${second}.${high % ADDRESSES_PER_BYTE}.${(number % ADDRESSES_PER_BYTE) + 1}`;
}

/** A member of the fleet; all share the ports of the process that speaks for them. */
export function scaleMember(number: number, run: number, ports: FleetPorts): Member {
  const dataCentre = Math.floor(number / SERVICES) % DATA_CENTRES;
  const service = `service-${String(number % SERVICES).padStart(3, '0')}`;
  const incarnation = `${number.toString(16).padStart(8, '0')}${run.toString(16).padStart(8, '0')}`;
  return {
    id: { name: `${service}-dc-${dataCentre}-${Math.floor(number / SERVICES)}`, incarnation },
    service,
    dataCentre: `dc-${dataCentre}`,
    region: `region-${dataCentre % REGIONS}`,
    address: loopbackAddress(number),
    peerPort: ports.peerPort,
    gossipPort: ports.gossipPort,
    slots: SLOTS,
    connections: CONNECTIONS,
    targetState: TargetState.serving,
    version: 1,
  };
}
