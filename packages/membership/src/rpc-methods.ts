import type { PolicyReplica } from '@daisyferry/model/policy-table';
import type { JSONRPCServer } from 'json-rpc-2.0';
import { JSONRPCErrorCode, JSONRPCErrorException } from 'json-rpc-2.0';
import type { z } from 'zod';
import { ByteBudget } from './byte-budget';
import { toMemberRow } from './member-row';
import type { MemberTable } from './member-table';
import { PeerMethod, RPC_BUSY_CODE } from './peer-rpc';
import type { RevisionSurvey } from './revision-survey';
import type { MembersSnapshot, StatusRevision } from './rpc-schemas';
import {
  membersSnapshotParamsSchema,
  policyDeltaParamsSchema,
  statusRevisionsParamsSchema,
} from './rpc-schemas';

/** Rate limit of replies to other daemons; beyond it requests are refused as busy. */
const REPLY_BYTES_PER_SECOND = 3_000;
const REPLY_BURST_BYTES = 4_000_000;

export interface RpcMethodOptions {
  readonly replica: PolicyReplica;
  readonly table: MemberTable;
  readonly survey: RevisionSurvey;
  readonly nowMs: () => number;
}

function parseParams<Schema extends z.ZodType>(schema: Schema, params: unknown): z.output<Schema> {
  const result = schema.safeParse(params ?? {});
  if (result.success) return result.data;
  throw new JSONRPCErrorException('invalid params', JSONRPCErrorCode.InvalidParams);
}

function membersSnapshot(table: MemberTable, bits: number, index: number): MembersSnapshot {
  const records = table.digest
    .refsInBucket(bits, index)
    .map((ref) => table.recordByRef(ref))
    .filter((record) => record !== undefined);
  return { total: table.liveCount, rows: records.map(toMemberRow) };
}

/** Registers the JSON-RPC methods by which daemons read each other's state. */
export function registerPeerMethods(server: JSONRPCServer, options: RpcMethodOptions): void {
  const { replica, table, survey, nowMs } = options;
  const budget = new ByteBudget(REPLY_BYTES_PER_SECOND, REPLY_BURST_BYTES);

  const rateLimited = <Reply>(createReply: () => Reply): Reply => {
    if (budget.available(nowMs()) <= 0) throw new JSONRPCErrorException('busy', RPC_BUSY_CODE);
    const value = createReply();
    budget.spend(Buffer.byteLength(JSON.stringify(value)), nowMs());
    return value;
  };

  server.addMethod(PeerMethod.policyDelta, (params: unknown) => {
    const { fromRevision } = parseParams(policyDeltaParamsSchema, params);
    return rateLimited(() => replica.deltaSince(fromRevision));
  });
  server.addMethod(PeerMethod.membersSnapshot, (params: unknown) => {
    const { bits, index } = parseParams(membersSnapshotParamsSchema, params);
    return rateLimited(() => membersSnapshot(table, bits, index % 2 ** bits));
  });
  server.addMethod(PeerMethod.statusRevision, (): StatusRevision => ({
    revision: replica.revision,
    ready: replica.ready,
  }));
  server.addMethod(PeerMethod.statusRevisions, (params: unknown) => {
    const { revision, members } = parseParams(statusRevisionsParamsSchema, params);
    return members === undefined
      ? survey.surveyAll(revision)
      : survey.surveyMembers(revision, members);
  });
}
