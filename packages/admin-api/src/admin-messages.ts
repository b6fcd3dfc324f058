import type { MessageInitShape } from '@bufbuild/protobuf';
import type { MemberView } from '@daisyferry/model/member';
import type { PolicyRecord } from '@daisyferry/model/policy';
import type { ChangeOutcome, RefusedChange } from '@daisyferry/policies/change-outcome';
import type { Difference } from '@daisyferry/policies/policy-difference';
import type { DrainResult, FleetStatus } from './fleet-admin';
import type {
  ChangeResponseSchema,
  DifferenceSchema,
  DrainResponseSchema,
  MemberSchema,
  PolicyRecordSchema,
  StatusResponseSchema,
} from './gen/daisyferry/admin/v1/administration_pb';

export function toDifferenceMessage({
  path,
  before,
  after,
}: Difference): MessageInitShape<typeof DifferenceSchema> {
  return {
    path,
    ...(before === undefined ? {} : { before }),
    ...(after === undefined ? {} : { after }),
  };
}

function toRefusedChangeResponse(
  outcome: RefusedChange,
): MessageInitShape<typeof ChangeResponseSchema> {
  return {
    outcome: outcome.kind,
    operationId: outcome.operationId,
    reason: outcome.reason,
    detail: outcome.detail,
    problems: outcome.problems.map((problem) => ({ ...problem })),
    presentRevision: BigInt(outcome.presentRevision),
    presentAuthor: outcome.presentAuthor,
  };
}

export function toChangeResponse(
  outcome: ChangeOutcome,
): MessageInitShape<typeof ChangeResponseSchema> {
  const { kind, operationId } = outcome;
  if (kind === 'refused') return toRefusedChangeResponse(outcome);
  if (kind === 'undecided') return { outcome: kind, operationId, detail: outcome.detail };
  const { service } = outcome;
  if (kind === 'accepted') {
    return { outcome: kind, operationId, service, revision: BigInt(outcome.revision) };
  }
  const presentRevision = BigInt(outcome.presentRevision);
  const differences = outcome.differences.map(toDifferenceMessage);
  return { outcome: kind, operationId, service, presentRevision, differences };
}

/** Converts a policy record; lists leave out the document. */
export function toPolicyRecordMessage(
  record: PolicyRecord,
  includeDocument: boolean,
): MessageInitShape<typeof PolicyRecordSchema> {
  const { revision, service, operationId, author, acceptedAt, policy } = record;
  const withdrawn = policy === null;
  const document = includeDocument && !withdrawn ? JSON.stringify(policy) : '';
  return {
    revision: BigInt(revision),
    service,
    operationId,
    author,
    acceptedAt,
    document,
    withdrawn,
  };
}

export function toMemberMessage({
  member,
  reachability,
}: MemberView): MessageInitShape<typeof MemberSchema> {
  const { id, service, dataCentre, region, address, peerPort, slots, connections } = member;
  return {
    name: id.name,
    incarnation: id.incarnation,
    service,
    dataCentre,
    region,
    address,
    peerPort,
    targetState: member.targetState,
    reachability,
    slots,
    connections,
  };
}

export function toDrainResponse(result: DrainResult): MessageInitShape<typeof DrainResponseSchema> {
  return { ...result, targetState: result.targetState ?? '' };
}

export function toStatusResponse(
  status: FleetStatus,
): MessageInitShape<typeof StatusResponseSchema> {
  const { headRevision, ...rest } = status;
  return {
    ...rest,
    appliedRevision: BigInt(status.appliedRevision),
    ...(headRevision === undefined ? {} : { headRevision: BigInt(headRevision) }),
    comparedRevision: BigInt(status.comparedRevision),
    lagging: status.lagging.map(({ daemon, service, appliedRevision }) => ({
      daemon,
      service,
      ...(appliedRevision === undefined ? {} : { appliedRevision: BigInt(appliedRevision) }),
    })),
  };
}
