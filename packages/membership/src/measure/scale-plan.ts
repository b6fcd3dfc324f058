import type { Member } from '@daisyferry/model/member';
import { TargetState } from '@daisyferry/model/member';

/** Size and change rates of the fleet in which one daemon is measured. */
export interface ScalePlan {
  readonly members: number;
  readonly policies: number;
  /** Members replaced per day in the whole fleet. */
  readonly replacementsPerDay: number;
  /** Members that fail without announcing it, per day in the whole fleet. */
  readonly failuresPerDay: number;
  readonly policyChangesPerDay: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Ports on which one process listens for all members that it simulates. */
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

/** Plan of the fleet at the size expected in two years, or of a part of it with scaled churn. */
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

/** Builds a member of the fleet; all members share the ports of the process that simulates them. */
export function scaleMember(number: number, incarnationNumber: number, ports: FleetPorts): Member {
  const dataCentre = Math.floor(number / SERVICES) % DATA_CENTRES;
  const service = `service-${String(number % SERVICES).padStart(3, '0')}`;
  const incarnation = `${number.toString(16).padStart(8, '0')}${incarnationNumber.toString(16).padStart(8, '0')}`;
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
